/**
 * Verdicts that depend on the build, given once and carried by the log.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";

type Command = protocol.state.Command;
type Verdict = protocol.state.ValidationResult;

/**
 * Adds to a command what the leader's build says of it. All voters follow the
 * verdict in the entry; their own rules may be older or newer. A verdict that
 * came with the command is replaced.
 *
 * @example
 * ```ts
 * const stamped = { timeMs, command: judge(command) };
 * ```
 */
export function addVerdict(command: Command): Command {
  if (command.kind !== "publish") return command;
  return { ...command, verdict: validateConfiguration(command.configuration) };
}

/** What this build says of a configuration. */
export function validateConfiguration(
  configuration: protocol.configuration.Configuration,
): Verdict {
  const [flaw] = protocol.configuration.validateConfiguration(configuration);
  if (flaw === undefined) return { kind: "sound" };
  const reason = protocol.configuration.renderIssue(flaw);
  return { kind: "flawed", reason };
}
