import * as drain from "../integration/drain_assignments.ts";

// See KNOWN-RED.txt.
drain.describeDrain([150]);
