import { describeServerAndLeader } from "../integration/server_and_leader.ts";

// See KNOWN-RED.txt.
describeServerAndLeader("placement");
