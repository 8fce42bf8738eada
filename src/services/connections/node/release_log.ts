/** Logs and counts the connections of one address that give way. */
import { BoundedLog } from "../../logging/common/bounded_log.ts";
import type { HolderGroup, IRelease } from "../common/memory_account.ts";
import { ReleaseCause } from "../common/memory_account.ts";
import type { IClientResources } from "./client_resources.ts";

/** Address at which clients of one kind connect; a label of metrics and a field of log lines. */
export enum ListenerKind {
  Callers = "callers",
  Peers = "peers",
  Probe = "probe",
  Metrics = "metrics",
}

/** A connection that was not accepted. */
const NEWCOMER: IRelease = { cause: ReleaseCause.Connections, bytes: 0, ageMs: 0 };

export interface IReleaseLogOptions extends IClientResources {
  readonly listener: ListenerKind;
  readonly group: HolderGroup;
}

export class ReleaseLog {
  readonly #opts: IReleaseLogOptions;
  readonly #log: BoundedLog;

  constructor(opts: IReleaseLogOptions) {
    this.#opts = opts;
    this.#log = new BoundedLog((event, fields) => opts.logger.warn(event, fields), opts.now);
  }

  /** Records a connection that gives way, and whether its request is refused, rather than the connection reset. */
  record({ cause, bytes, ageMs }: IRelease, { isRefused }: { isRefused: boolean }): void {
    const { listener, metrics, account, group } = this.#opts;
    metrics.incrementCounter("released_connections", { listener, cause });
    this.#log.log("connection-released", {
      listener,
      cause,
      bytes,
      ageMs: Math.round(ageMs),
      isRefused,
      usedBytes: account.usedBytes,
      connections: group.holders.size,
    });
  }

  /** Records a connection that was not accepted, since too many are being closed. */
  recordDrop(): void {
    this.record(NEWCOMER, { isRefused: false });
  }
}
