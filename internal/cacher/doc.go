// Package cacher knows which beginnings of prompts replicas keep in their key-value caches, so
// that requests are sent where they need not be read again.
//
// What it knows may be wrong. That costs the time to read a beginning, never a wrong answer.
package cacher
