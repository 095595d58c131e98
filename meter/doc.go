// Package meter defines the metrics of an entry instance in edge mode and keeps their values in
// a go-metrics registry. It limits the number of label combinations of each metric, because
// some labels are names from the configuration. It also generates the reference page of the metrics.
package meter
