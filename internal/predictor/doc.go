// Package predictor decides how long an idle model stays loaded and when an
// unloaded one is loaded before it is asked for.
//
// The policies are plain functions of a model's recorded activity, so that
// they can be compared on recorded or generated traces.
package predictor
