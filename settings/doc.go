// Package settings parses a program's settings from flags, environment variables and an optional
// JSON file, in this order of precedence, and validates them. Errors name the setting.
package settings
