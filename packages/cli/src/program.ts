/**
 * The command line: parsing, dispatch and exit codes.
 *
 * @module
 */
import process from "node:process";
import * as protocol from "@ebonypath/protocol";
import sade from "sade";
import * as commands from "./cli/mod.ts";
import * as connections from "./connection.ts";
import * as exitCode from "./exit_code.ts";
import * as failure from "./failure.ts";
import * as output from "./output/mod.ts";
import * as software from "./software.ts";

const GLOBAL_OPTIONS: readonly commands.Option[] = [
  {
    name: "server",
    kind: "text",
    description: "Operators' listener; may be given several times",
  },
  {
    name: "token-file",
    kind: "text",
    description: "File that holds the operator's token",
  },
  {
    name: "ca-file",
    kind: "text",
    description: "Certificates that servers are checked against",
  },
  {
    name: "timeout",
    kind: "text",
    description: "Seconds that a call may take, with all its tries",
  },
  { name: "json", kind: "switch", description: "Print one JSON document" },
];

/** What a program gets from its surroundings. */
export interface Surroundings {
  readonly out: output.Sink;
  readonly error: output.Sink;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Values of options: texts, switches, or lists of texts. */
type Values = Readonly<Record<string, unknown>>;

/**
 * Runs one command.
 *
 * @param argv arguments after the program's name.
 * @example
 * ```ts
 * process.exitCode = await run(process.argv.slice(2), surroundings);
 * ```
 */
export async function run(
  argv: readonly string[],
  surroundings: Surroundings,
): Promise<exitCode.ExitCode> {
  const isJson = argv.includes("--json");
  const { out, error } = surroundings;
  const printer = new output.Output(out, error, isJson);
  try {
    const parsed = parse(argv);
    if (parsed === undefined) return exitCode.OK;
    return await execute(parsed, surroundings, printer);
  } catch (error) {
    printer.failure(error as Error);
    return exitCodeOf(error);
  }
}

function exitCodeOf(error: unknown): exitCode.ExitCode {
  if (error instanceof failure.Failure) return error.exitCode;
  if (error instanceof protocol.toml.FileError) return exitCode.USAGE;
  return exitCode.UNKNOWN;
}

interface Parsed {
  readonly command: commands.Command;
  readonly args: readonly string[];
  readonly values: Values;
}

function parse(argv: readonly string[]): Parsed | undefined {
  const program = createProgram();
  const all = [
    ...GLOBAL_OPTIONS,
    ...commands.COMMANDS.flatMap((command) => command.options ?? []),
  ];
  const switches = namesOf(all, "switch");
  const flags = new Set(switches.map((name) => `--${name}`));
  // A switch in front of a command word would take the word as its value.
  const sorted = [
    ...argv.filter((text) => !flags.has(text)),
    ...argv.filter((text) => flags.has(text)),
  ];
  const guard = () => process.exitCode = exitCode.USAGE;
  // The library ends the process by itself when it refuses the arguments.
  process.once("exit", guard);
  const parsed = program.parse(["node", "ebonypath", ...sorted], {
    lazy: true,
    boolean: switches,
    string: namesOf(all, "text"),
    unknown: (flag: string) => `Unknown option: ${flag}`,
  });
  process.removeListener("exit", guard);
  return parsed === undefined ? undefined : resolve(parsed);
}

function resolve(parsed: sade.LazyOutput): Parsed {
  const command = commands.COMMANDS.find(({ usage }) =>
    wordsOf(usage) === parsed.name
  );
  if (command === undefined) {
    throw new failure.UsageError("no command is given", "see --help");
  }
  const values = (parsed.args.at(-1) ?? {}) as unknown as Values;
  const extra = values["_"] as string[];
  if (extra.length > 0 && command.isVariadic !== true) {
    throw new failure.UsageError(
      `"${extra[0]}" is one argument too many`,
      `ebonypath ${command.usage}`,
    );
  }
  const args = [...parsed.args.slice(0, -1), ...extra].map(String);
  return { command, args, values };
}

function createProgram(): sade.Sade {
  const program = sade("ebonypath");
  program.version(software.VERSION);
  for (const option of GLOBAL_OPTIONS) addOption(program, option);
  for (const command of commands.COMMANDS) {
    program.command(command.usage, command.description);
    for (const option of command.options ?? []) addOption(program, option);
    for (const example of command.examples ?? []) program.example(example);
    program.action(() => {});
  }
  return program;
}

function addOption(program: sade.Sade, option: commands.Option): void {
  program.option(`--${option.name}`, option.description);
}

function namesOf(
  options: readonly commands.Option[],
  kind: commands.Option["kind"],
): string[] {
  const names = options.filter((option) => option.kind === kind)
    .map(({ name }) => name);
  return [...new Set(names)];
}

function wordsOf(usage: string): string {
  return usage.split(" ").filter((word) => !/^[<[]/.test(word)).join(" ");
}

async function execute(
  parsed: Parsed,
  surroundings: Surroundings,
  printer: output.Output,
): Promise<exitCode.ExitCode> {
  const { command, args, values } = parsed;
  const { environment } = surroundings;
  await using connection = new connections.Connection({
    servers: listOf(values, "server"),
    tokenFile: textOf(values, "token-file"),
    authorityFile: textOf(values, "ca-file"),
    timeout: textOf(values, "timeout"),
    environment,
  });
  return await command.run({
    args,
    text: (name) => textOf(values, name),
    isSet: (name) => values[name] === true,
    output: printer,
    client: () => connection.client(),
  });
}

function listOf(values: Values, name: string): string[] {
  const value = values[name];
  if (value === undefined) return [];
  return (Array.isArray(value) ? value : [value]).map(String);
}

function textOf(values: Values, name: string): string | undefined {
  const texts = listOf(values, name);
  const [first] = texts;
  if (texts.length > 1) {
    throw new failure.UsageError(`--${name} stands twice`, "give it once");
  }
  if (first === "") {
    throw new failure.UsageError(`--${name} has no value`, "give it a value");
  }
  return first;
}
