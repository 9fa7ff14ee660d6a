// Nothing of its own: the unit for which the common headers of the test
// programs are precompiled.
