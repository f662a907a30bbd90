import type { launcher } from "@ebonypath/testing";
import * as undici from "undici";

/** Value of a metric at a host, if the host has it. */
export async function readMetric(
  host: launcher.FleetHost,
  name: string,
): Promise<number | undefined> {
  const answer = await undici.request(`${host.operators}/metrics`, {
    reset: true,
  });
  const lines = (await answer.body.text()).split("\n");
  const line = lines.find((one) => one.startsWith(`${name} `));
  return line === undefined ? undefined : Number(line.slice(name.length));
}
