// Package predictor decides how long an idle model stays loaded and when an
// unloaded model is prewarmed, that is, loaded before requests for it arrive.
//
// The policies are pure functions of a model's recorded activity, so that they
// can be compared on recorded or generated traces.
package predictor
