import type * as client from "../client/mod.ts";
import type * as exitCode from "../exit_code.ts";
import type * as output from "../output/mod.ts";

/** An option of one command. */
export interface Option {
  /** Without the leading dashes. */
  readonly name: string;
  readonly kind: "text" | "switch";
  readonly description: string;
}

/** What a command works with. */
export interface Context {
  /** Positional arguments after the command's words. */
  readonly args: readonly string[];
  /** The value of a text option that was given. */
  readonly text: (name: string) => string | undefined;
  readonly isSet: (name: string) => boolean;
  readonly output: output.Output;
  /** The client; a usage error when no server or token is given. */
  readonly client: () => Promise<client.Client>;
}

/** One command of the command line. */
export interface Command {
  /** Words and arguments, for instance `key grant <workspace>`. */
  readonly usage: string;
  readonly description: string;
  /** Whether it takes more arguments than the usage names. */
  readonly isVariadic?: boolean;
  readonly options?: readonly Option[];
  readonly examples?: readonly string[];
  readonly run: (context: Context) => Promise<exitCode.ExitCode>;
}
