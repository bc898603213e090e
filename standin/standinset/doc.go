// Package standinset reads the settings of the stand-ins and runs them as
// processes. One INI file may hold the sections of a whole set; each process
// runs the one that its sub-command names and checks all of the file.
package standinset
