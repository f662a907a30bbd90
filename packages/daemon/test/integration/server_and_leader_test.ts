import { describeServerAndLeader } from "./server_and_leader.ts";

describeServerAndLeader();
