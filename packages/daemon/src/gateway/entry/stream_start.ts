import type * as core from "@ebonypath/core";
import type { gateway } from "@ebonypath/protocol";
import type * as types from "./types.ts";

/** Longest time for which a caller may resume a stream, in milliseconds. */
const MAX_RESUMPTION_MS = 600_000;
/** Time beyond its caller's deadline for which a stream is remembered, in ms. */
const RESUMPTION_MARGIN_MS = 5_000;

/** What is recorded of a stream when it begins here or is resumed here. */
export function createStart(
  { arrivedAt, metadata, origin, route }: types.RequestContext,
  { service, softwareVersion }: gateway.ServerRecord,
): core.gateway.StreamStart {
  const patienceMs = Math.min(
    metadata.deadlineMs ?? MAX_RESUMPTION_MS,
    MAX_RESUMPTION_MS,
  );
  return {
    id: origin === undefined ? metadata.id : metadata.resumedRequestId,
    origin: origin ?? { service, softwareVersion },
    isRouteSplit: route.split.length > 1,
    expiresAt: arrivedAt + patienceMs + RESUMPTION_MARGIN_MS,
  };
}
