import * as net from "node:net";

/** An IP address with a port. */
export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

/** A range of IP addresses. */
export interface AddressRange {
  readonly ip: string;
  /** Number of leading bits that addresses of the range share. */
  readonly prefix: number;
}

const PORT_MAX = 65_535;

/**
 * Parses `IP:PORT`, with an IPv6 address in brackets. Gives `undefined` for
 * anything else, also for host names.
 *
 * @example
 * ```ts
 * parseEndpoint("127.0.0.1:7001"); // { ip: "127.0.0.1", port: 7001 }
 * ```
 */
export function parseEndpoint(text: string): Endpoint | undefined {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const [, six, four, digits] = match;
  const port = Number(digits);
  if (port > PORT_MAX) return undefined;
  if (six !== undefined) return net.isIPv6(six) ? { ip: six, port } : undefined;
  return four !== undefined && net.isIPv4(four)
    ? { ip: four, port }
    : undefined;
}

/**
 * Renders an endpoint so that `parseEndpoint` reads it again.
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
 * Parses a range in CIDR notation, for instance `10.0.0.0/8`.
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
 * Builds a test for addresses that lie in any of the ranges.
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
  const list = new net.BlockList();
  for (const text of ranges) {
    const range = parseAddressRange(text);
    if (range === undefined) throw new RangeError(`not a range: ${text}`);
    list.addSubnet(range.ip, range.prefix, family(range.ip));
  }
  return (ip) => net.isIP(ip) !== 0 && list.check(ip, family(ip));
}

function family(ip: string): "ipv4" | "ipv6" {
  return net.isIPv6(ip) ? "ipv6" : "ipv4";
}
