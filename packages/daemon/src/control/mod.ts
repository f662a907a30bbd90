/**
 * The control role: the replicated state and the leader's decisions.
 *
 * @module
 */
export * from "./control_node.ts";
export * from "./replicated_state.ts";
