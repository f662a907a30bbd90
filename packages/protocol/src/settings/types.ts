import * as v from "valibot";
import * as backend from "../backend/mod.ts";
import * as state from "../state/mod.ts";
import * as address from "./address.ts";

const SECOND_MS = 1_000;
const KIB = 1_024;
const MIB = 1_024 * KIB;
const MAX_ITEMS = 256;

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

function integerBetween(min: number, max: number) {
  return v.pipe(
    v.number(),
    v.integer("is not a whole number; write a whole number"),
    v.minValue(min, `is too small; the least value is ${min}`),
    v.maxValue(max, `is too large; the largest value is ${max}`),
  );
}

/** `entry` hosts serve callers, `control` hosts hold the replicated state. */
export const Role = v.picklist(["entry", "control"]);
export type Role = v.InferOutput<typeof Role>;

/** Permission of an operator. */
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
  /** Directory of the replicated state; needed by `control` hosts. */
  dataFolder: v.optional(File),
});
export type Host = v.InferOutput<typeof Host>;

/** Listen addresses of the host; port 0 selects a free port. */
export const Listen = v.strictObject({
  /** Requests of callers, `/livez` and `/readyz`; needed by `entry` hosts. */
  callers: v.optional(Endpoint),
  /** Announcements of backend servers; needed by `entry` hosts. */
  backends: v.optional(Endpoint),
  /** Operator API and `/metrics`. */
  operators: Endpoint,
  /** Connections between the hosts of the fleet. */
  fleet: Endpoint,
  /** Address under which other hosts reach `fleet`, if it is different. */
  fleetAdvertised: v.optional(Endpoint),
  /** Source IP address of connections to other hosts. */
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

/** How to find the replicated state. */
export const Control = v.strictObject({
  /** Fleet addresses of control hosts to contact first. */
  hosts: v.optional(
    v.pipe(v.array(Endpoint), v.maxLength(MAX_ITEMS)),
    [],
  ),
  /** All voters of the initial cluster; empty on a host that is added later. */
  initialVoters: v.optional(
    v.pipe(v.array(Endpoint), v.maxLength(MAX_ITEMS)),
    [],
  ),
});
export type Control = v.InferOutput<typeof Control>;

/** Files with secrets, which must be readable only by their owner. */
export const Secrets = v.strictObject({
  /** Secret shared by all hosts of the fleet. */
  fleetFile: File,
  /** Token in announcements of backend servers; needed by `entry` hosts. */
  joinTokenFile: v.optional(File),
});
export type Secrets = v.InferOutput<typeof Secrets>;

/** A person or program with access to the operator API. */
export const Operator = v.strictObject({
  name: Name,
  tokenFile: File,
  rights: v.pipe(
    v.array(Right),
    v.minLength(1, 'is empty; list "read", "publish" or "operate"'),
  ),
});
export type Operator = v.InferOutput<typeof Operator>;

/** Backend servers that are allowed to send announcements. */
export const Backends = v.strictObject({
  allowedAddresses: v.pipe(
    v.array(AddressRange),
    v.minLength(1, "is empty; list the ranges of backend servers"),
    v.maxLength(MAX_ITEMS),
  ),
});
export type Backends = v.InferOutput<typeof Backends>;

/**
 * What the clients of a listener may hold unless the settings say otherwise, for
 * both programs. A heap of 200 MB bears it.
 */
export const CLIENT_DEFAULTS = {
  /** Requests sent ahead on a connection. */
  maxRequestsAhead: 16,
  /** Bodies on their way, and answers that are not read, each in bytes. */
  maxHeldBytes: 48 * MIB,
} as const;

/** Limits on what the host accepts and stores. */
export const Limits = v.strictObject({
  /** Maximum body size of a request by a caller, in bytes. */
  maxBodyBytes: v.optional(integerBetween(KIB, 256 * MIB), 4 * MIB),
  /** Maximum size of the headers of a request, in bytes. */
  maxHeaderBytes: v.optional(integerBetween(KIB, MIB), 16 * KIB),
  /** Timeout for receiving the headers of a request, in milliseconds. */
  headerTimeoutMs: v.optional(
    integerBetween(100, 600 * SECOND_MS),
    10 * SECOND_MS,
  ),
  /** Timeout for receiving a complete request, in milliseconds. */
  bodyTimeoutMs: v.optional(
    integerBetween(100, 600 * SECOND_MS),
    30 * SECOND_MS,
  ),
  /** Maximum number of connections per listener. */
  maxConnections: v.optional(integerBetween(1, 100_000), 10_000),
  /** Maximum number of requests sent ahead on a connection. */
  maxRequestsAhead: v.optional(
    integerBetween(0, 1_000),
    CLIENT_DEFAULTS.maxRequestsAhead,
  ),
  /** Maximum size of bodies on their way to a listener, all together. */
  maxReceivingBytes: v.optional(
    integerBetween(MIB, 64 * 1_024 * MIB),
    CLIENT_DEFAULTS.maxHeldBytes,
  ),
  /** Maximum size of answers of a listener that are not read, all together. */
  maxUnreadBytes: v.optional(
    integerBetween(MIB, 64 * 1_024 * MIB),
    CLIENT_DEFAULTS.maxHeldBytes,
  ),
  /** Maximum number of requests in the queue of the host. */
  maxQueue: v.optional(integerBetween(1, 1_000_000), 10_000),
  /** Maximum size of a response that is stored for replay, in bytes. */
  maxAnswerBytes: v.optional(
    integerBetween(KIB, state.MAX_STORED_BODY_BYTES),
    MIB,
  ),
  /** Maximum body size of an operator API request, in bytes. */
  maxOperatorBodyBytes: v.optional(integerBetween(KIB, 256 * MIB), 16 * MIB),
  /** Timeout between two events of a stream from a backend server, in ms. */
  streamIdleTimeoutMs: v.optional(
    integerBetween(100, 3_600 * SECOND_MS),
    30 * SECOND_MS,
  ),
  /** Timeout for running requests to finish after SIGTERM, in milliseconds. */
  drainTimeoutMs: v.optional(
    integerBetween(0, 3_600 * SECOND_MS),
    60 * SECOND_MS,
  ),
  /** Delay between not ready and refusing connections, in milliseconds. */
  drainDelayMs: v.optional(integerBetween(0, 600 * SECOND_MS), 2 * SECOND_MS),
});
export type Limits = v.InferOutput<typeof Limits>;

/** PEM files of the key and the certificates of a listener. */
export const TlsFiles = v.strictObject({
  certificateFile: File,
  keyFile: File,
  /** If set, clients must present a certificate signed by this CA. */
  caFile: v.optional(File),
});
export type TlsFiles = v.InferOutput<typeof TlsFiles>;

/** TLS files of the listeners; a listener without an entry uses plain HTTP. */
export const Tls = v.strictObject({
  callers: v.optional(TlsFiles),
  backends: v.optional(TlsFiles),
  operators: v.optional(TlsFiles),
  fleet: v.optional(TlsFiles),
});
export type Tls = v.InferOutput<typeof Tls>;

/** Content of the settings file of a host. */
export const Settings = v.strictObject({
  host: Host,
  listen: Listen,
  control: v.optional(Control, {}),
  secrets: Secrets,
  operators: v.optional(
    v.pipe(v.array(Operator), v.maxLength(MAX_ITEMS)),
    [],
  ),
  backends: v.optional(Backends),
  limits: v.optional(Limits, {}),
  tls: v.optional(Tls, {}),
});
export type Settings = v.InferOutput<typeof Settings>;
