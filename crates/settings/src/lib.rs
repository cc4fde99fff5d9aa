//! Local settings of one daemon: file, flags, checked values.
