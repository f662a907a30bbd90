import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as state from "../state/mod.ts";
import * as address from "./address.ts";

const SECOND_MS = 1_000;
const KIB = 1_024;
const MIB = 1_024 * KIB;
const LISTED_ITEMS = 256;

const Endpoint = v.pipe(
  v.string(),
  v.check(
    (text) => address.parseEndpoint(text) !== undefined,
    'is not an address; write IP:PORT, for instance "127.0.0.1:7001"',
  ),
);

const AddressRange = v.pipe(
  v.string(),
  v.check(
    (text) => address.parseAddressRange(text) !== undefined,
    'is not a range of addresses; write it as in "10.0.0.0/8"',
  ),
);

const Name = v.pipe(
  v.string(),
  v.check(
    (text) => v.is(backend.Name, text),
    "is not a name; use letters, digits, dot, dash and underscore",
  ),
);

const File = v.pipe(
  v.string(),
  v.minLength(1, "is empty; name a file, relative to the settings file"),
);

function limit(least: number, most: number) {
  return v.pipe(
    v.number(),
    v.integer("is not a whole number; write a whole number"),
    v.minValue(least, `is too small; the least value is ${least}`),
    v.maxValue(most, `is too large; the largest value is ${most}`),
  );
}

/** What a host does: serves callers, or votes on the replicated state. */
export const Role = v.picklist(["entry", "control"]);
export type Role = v.InferOutput<typeof Role>;

/** What an operator may do. */
export const Right = v.picklist(["read", "publish", "operate"]);
export type Right = v.InferOutput<typeof Right>;

/** Identity of the host. */
export const Host = v.strictObject({
  name: Name,
  failureDomain: Name,
  /** The control cell that the host belongs to. */
  cell: v.optional(Name, "local"),
  roles: v.pipe(
    v.array(Role),
    v.minLength(1, 'is empty; list "entry", "control" or both'),
    v.check(
      (roles) => new Set(roles).size === roles.length,
      "names a role twice; name each role once",
    ),
  ),
  /** Folder of the replicated state; needed with the role `control`. */
  dataFolder: v.optional(File),
});
export type Host = v.InferOutput<typeof Host>;

/** Addresses that the host listens on; port 0 takes any free port. */
export const Listen = v.strictObject({
  /** Callers' requests, `/livez` and `/readyz`; needed with the role `entry`. */
  callers: v.optional(Endpoint),
  /** Announcements of backend servers; needed with the role `entry`. */
  backends: v.optional(Endpoint),
  /** Operators' calls and `/metrics`. */
  operators: Endpoint,
  /** Links between the system's own processes. */
  fleet: Endpoint,
  /** Address under which other hosts reach `fleet`, where it differs. */
  fleetAdvertised: v.optional(Endpoint),
  /** IP address that links to other hosts are opened from. */
  fleetSource: v.optional(
    v.pipe(
      v.string(),
      v.ip('is not an IP address; write for instance "127.0.0.1"'),
    ),
  ),
});
export type Listen = v.InferOutput<typeof Listen>;

/**
 * Returns the address under which other hosts reach a host.
 *
 * @example
 * ```ts
 * const own = fleetAddress(settings.listen);
 * ```
 */
export function fleetAddress(listen: Listen): string {
  return listen.fleetAdvertised ?? listen.fleet;
}

/** Where the replicated state is found. */
export const Control = v.strictObject({
  /** Fleet addresses of control hosts to start from. */
  hosts: v.optional(
    v.pipe(v.array(Endpoint), v.maxLength(LISTED_ITEMS)),
    [],
  ),
  /** All voters of the first formation; empty on a host that is added later. */
  initialVoters: v.optional(
    v.pipe(v.array(Endpoint), v.maxLength(LISTED_ITEMS)),
    [],
  ),
});
export type Control = v.InferOutput<typeof Control>;

/** Files that hold secrets, readable by their owner alone. */
export const Secrets = v.strictObject({
  /** Shared by all processes of the fleet. */
  fleetFile: File,
  /** Carried by the announcements of backend servers; needed with `entry`. */
  joinTokenFile: v.optional(File),
});
export type Secrets = v.InferOutput<typeof Secrets>;

/** A person or a program that may use the operators' interface. */
export const Operator = v.strictObject({
  name: Name,
  tokenFile: File,
  rights: v.pipe(
    v.array(Right),
    v.minLength(1, 'is empty; list "read", "publish" or "operate"'),
  ),
});
export type Operator = v.InferOutput<typeof Operator>;

/** Which backend servers may announce themselves. */
export const Backends = v.strictObject({
  allowedAddresses: v.pipe(
    v.array(AddressRange),
    v.minLength(1, "is empty; list the ranges of backend servers"),
    v.maxLength(LISTED_ITEMS),
  ),
});
export type Backends = v.InferOutput<typeof Backends>;

/** Bounds of what the host accepts and keeps. */
export const Limits = v.strictObject({
  /** Largest body of a caller's request, in bytes. */
  maxBodyBytes: v.optional(limit(KIB, 256 * MIB), 4 * MIB),
  /** Largest header section of a request, in bytes. */
  maxHeaderBytes: v.optional(limit(KIB, MIB), 16 * KIB),
  /** Time for a client to send its headers, in milliseconds. */
  headerTimeoutMs: v.optional(limit(100, 600 * SECOND_MS), 10 * SECOND_MS),
  /** Time for a client to send its whole request, in milliseconds. */
  bodyTimeoutMs: v.optional(limit(100, 600 * SECOND_MS), 30 * SECOND_MS),
  /** Most connections of each listener. */
  maxConnections: v.optional(limit(1, 100_000), 10_000),
  /** Most requests that wait at this host. */
  maxQueue: v.optional(limit(1, 1_000_000), 10_000),
  /** Largest answer that is recorded for a resend, in bytes. */
  maxAnswerBytes: v.optional(limit(KIB, state.MAX_STORED_BODY_BYTES), MIB),
  /** Largest body of an operator's call, in bytes. */
  maxOperatorBodyBytes: v.optional(limit(KIB, 256 * MIB), 16 * MIB),
  /** Longest pause between two events of a backend server's stream, in milliseconds. */
  streamIdleTimeoutMs: v.optional(
    limit(100, 3_600 * SECOND_MS),
    30 * SECOND_MS,
  ),
  /** Time for running requests to finish after SIGTERM, in milliseconds. */
  drainTimeoutMs: v.optional(limit(0, 3_600 * SECOND_MS), 60 * SECOND_MS),
  /** Time between not being ready and refusing connections, in milliseconds. */
  drainDelayMs: v.optional(limit(0, 600 * SECOND_MS), 2 * SECOND_MS),
});
export type Limits = v.InferOutput<typeof Limits>;

/** Certificates of one listener, in PEM. */
export const TlsFiles = v.strictObject({
  certificateFile: File,
  keyFile: File,
  /** When set, clients must show a certificate signed by it. */
  caFile: v.optional(File),
});
export type TlsFiles = v.InferOutput<typeof TlsFiles>;

/** TLS of the listeners; a listener without an entry speaks plain HTTP. */
export const Tls = v.strictObject({
  callers: v.optional(TlsFiles),
  backends: v.optional(TlsFiles),
  operators: v.optional(TlsFiles),
  fleet: v.optional(TlsFiles),
});
export type Tls = v.InferOutput<typeof Tls>;

/** The settings file of one host. */
export const Settings = v.strictObject({
  host: Host,
  listen: Listen,
  control: v.optional(Control, {}),
  secrets: Secrets,
  operators: v.optional(
    v.pipe(v.array(Operator), v.maxLength(LISTED_ITEMS)),
    [],
  ),
  backends: v.optional(Backends),
  limits: v.optional(Limits, {}),
  tls: v.optional(Tls, {}),
});
export type Settings = v.InferOutput<typeof Settings>;
