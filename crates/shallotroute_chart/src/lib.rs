//! State charts in YAML files, checked when loaded and interpreted by the code.
