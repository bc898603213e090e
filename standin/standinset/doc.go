// Package standinset reads the settings of the stand-ins and runs them as processes.
// One INI file may hold the sections of several stand-ins. Each process runs the
// stand-in that its sub-command names and validates the whole file.
package standinset
