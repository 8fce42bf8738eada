/** Limits the connections that a server accepts. */
import type { Server } from "node:net";
import type { ReleaseLog } from "./release_log.ts";

/** Connections that may be closing while others are accepted in their place, as a share of the limit. */
const CLOSING_SHARE = 0.25;

export interface IConnectionLimit {
  readonly maxConnections: number;
  readonly releases: ReleaseLog;
}

/** Below the limit nothing is refused; beyond it, which connection gives way is decided by the account of the process. */
export function limitConnections(server: Server, { maxConnections, releases }: IConnectionLimit): void {
  server.maxConnections = Math.ceil(maxConnections * (1 + CLOSING_SHARE));
  server.on("drop", () => releases.recordDrop());
}
