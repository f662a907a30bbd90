import * as drain from "./drain_assignments.ts";

drain.describeDrain([0, 50, 100, 150]);
