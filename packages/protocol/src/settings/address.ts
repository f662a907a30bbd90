import * as net from "node:net";

/** An IP address and port. */
export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

/** A range of IP addresses in CIDR form. */
export interface AddressRange {
  readonly ip: string;
  /** Prefix length in bits. */
  readonly prefix: number;
}

const MAX_PORT = 65_535;

/**
 * Parses `IP:PORT`, with an IPv6 address in brackets. Returns `undefined` for
 * any other text, including host names.
 *
 * @example
 * ```ts
 * parseEndpoint("127.0.0.1:7001"); // { ip: "127.0.0.1", port: 7001 }
 * ```
 */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const [, v6, v4, portText] = match;
  const port = Number(portText);
  if (port > MAX_PORT) return undefined;
  if (v6 !== undefined) return net.isIPv6(v6) ? { ip: v6, port } : undefined;
  return v4 !== undefined && net.isIPv4(v4) ? { ip: v4, port } : undefined;
}

/**
 * Formats an endpoint in the form that `parseEndpoint` reads.
 *
 * @example
 * ```ts
 * renderEndpoint({ ip: "::1", port: 7001 }); // "[::1]:7001"
 * ```
 */
export function renderEndpoint(endpoint: Endpoint): string {
  const ip = net.isIPv6(endpoint.ip) ? `[${endpoint.ip}]` : endpoint.ip;
  return `${ip}:${endpoint.port}`;
}

/**
 * Parses a range in CIDR notation, e.g. `10.0.0.0/8`.
 *
 * @example
 * ```ts
 * parseAddressRange("127.0.0.0/8"); // { ip: "127.0.0.0", prefix: 8 }
 * ```
 */
export function parseAddressRange(text: string): AddressRange | undefined {
  const match = /^([0-9A-Fa-f:.]+)\/(\d{1,3})$/.exec(text);
  if (match === null) return undefined;
  const ip = match[1] ?? "";
  const prefix = Number(match[2]);
  const bits = net.isIPv4(ip) ? 32 : net.isIPv6(ip) ? 128 : -1;
  return prefix <= bits ? { ip, prefix } : undefined;
}

/**
 * Creates a predicate that matches addresses in any of the ranges.
 *
 * @example
 * ```ts
 * const allowed = matchAddresses(["127.0.0.0/8"]);
 * allowed("127.0.0.2"); // true
 * ```
 */
export function matchAddresses(
  ranges: readonly string[],
): (ip: string) => boolean {
  const blockList = new net.BlockList();
  for (const text of ranges) {
    const range = parseAddressRange(text);
    if (range === undefined) throw new RangeError(`invalid CIDR: ${text}`);
    blockList.addSubnet(range.ip, range.prefix, ipFamily(range.ip));
  }
  return (ip) => net.isIP(ip) !== 0 && blockList.check(ip, ipFamily(ip));
}

function ipFamily(ip: string): "ipv4" | "ipv6" {
  return net.isIPv6(ip) ? "ipv6" : "ipv4";
}
