/**
 * Validation whose rules differ between builds. The leader validates once, and
 * the log entry carries its verdict.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";

type Command = protocol.state.Command;
type Verdict = protocol.state.ValidationResult;

/**
 * Adds the verdict of this build to a command before the leader proposes it.
 * All voters follow the verdict in the entry, because their own rules may be
 * older or newer and their states must not diverge. A verdict that came with
 * the command is replaced.
 *
 * @example
 * ```ts
 * const stamped = { timeMs, command: addVerdict(command) };
 * ```
 */
export function addVerdict(command: Command): Command {
  if (command.kind !== "publish") return command;
  return { ...command, verdict: validateConfiguration(command.configuration) };
}

/** Validates a configuration by the rules of this build. */
export function validateConfiguration(
  configuration: protocol.configuration.Configuration,
): Verdict {
  const [flaw] = protocol.configuration.validateConfiguration(configuration);
  if (flaw === undefined) return { kind: "sound" };
  const reason = protocol.configuration.renderIssue(flaw);
  return { kind: "flawed", reason };
}
