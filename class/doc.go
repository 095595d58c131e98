// Package class reads, checks and matches the classes of work that operators write.
package class
