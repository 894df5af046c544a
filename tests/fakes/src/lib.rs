//! Stand-ins for the systems around catkindeck, with faults ordered through a control address.
