/** Attempts on backend servers, whose ends show which requests crash servers. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";
import type { RequestIdentity } from "./request_identity.ts";
import type { IRequestKey } from "./request_keys.ts";
import type { IStrikeKey } from "./strike_ledger.ts";

/** How an attempt on a backend server ended. */
export enum AttemptResult {
  /** The server may still be running the request. */
  Unknown = "unknown",
  /** The server has not begun to run the request. */
  NotStarted = "not-started",
  /** The server sent a complete response that does not show whether it ran the request. */
  Responded = "responded",
  /** The server completed the request. */
  Succeeded = "succeeded",
  /** The connection broke before the response was complete. */
  ConnectionLost = "connection-lost",
}

/** An attempt on a backend server that is being observed. */
export interface IObservedAttempt {
  readonly requestId: string;
  readonly identity: RequestIdentity;
  readonly server: IServerRun;
  /** Level of the request's strikes when it was sent. */
  readonly level: number;
  /** Suspected parts that the request shared when it was sent. */
  readonly suspectedKeys: readonly IRequestKey[];
  readonly sentAtMs: number;
  /** Whether the head of a stream has arrived; its events take long also at a live server. Set by the sender. */
  isStreaming: boolean;
  /** Set by the sender as soon as it is known. */
  result: AttemptResult;
}

/** An attempt that has ended. */
export interface IEndedAttempt {
  /** Undefined for an attempt that another instance has reported. */
  readonly requestId: string | undefined;
  readonly fingerprint: bigint;
  readonly server: IServerRun;
  readonly level: number;
  readonly sentAtMs: number;
  readonly suspectedKeys: readonly IRequestKey[];
  /** Returns the keys of the request; only needed for strikes. */
  readonly keys: () => readonly IStrikeKey[];
}

export function toEnded(
  { requestId, identity, server, level, sentAtMs, suspectedKeys }: IObservedAttempt,
): IEndedAttempt {
  const suspected = new Set(suspectedKeys.map(({ hash }) => hash));
  const keys = () => identity.sharedKeys.map((key) => ({ ...key, wasSuspected: suspected.has(key.hash) }));
  return { requestId, fingerprint: identity.fingerprint, server, level, sentAtMs, suspectedKeys, keys };
}

export function toServerRun({ id, startedAtMs }: IBackendEntry): IServerRun {
  return { backendId: id, startedAtMs };
}
