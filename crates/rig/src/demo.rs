//! To come: see below.
