/** What the servers of a process share to keep within the resources of its machine. */
import type { ILogger } from "../../logging/common/logger.ts";
import type { Metrics } from "../../metrics/common/metrics.ts";
import { MemoryAccount } from "../common/memory_account.ts";
import { WorkBudget } from "../common/work_budget.ts";
import { ReadBrake } from "./read_brake.ts";

/** Tiny pieces of bodies that are read per second: a small part of a core. */
const TINY_PIECES_PER_S = 50_000;
/** Longer than the pieces of one read take, so that one client is only slowed down. */
const MAX_WORK_DEBT_MS = 2000;

export interface IClientResources {
  readonly account: MemoryAccount;
  readonly work: WorkBudget;
  readonly readBrake: ReadBrake;
  readonly logger: ILogger;
  readonly metrics: Metrics;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

export interface IClientResourcesOptions extends Pick<IClientResources, "logger" | "metrics"> {
  /** Memory for all clients, in bytes. */
  readonly memoryBytes: number;
}

export function makeClientResources(
  { memoryBytes, logger, metrics }: IClientResourcesOptions,
): IClientResources {
  const now = () => performance.now();
  const account = new MemoryAccount({ maxBytes: memoryBytes, now });
  const work = new WorkBudget({ piecesPerS: TINY_PIECES_PER_S, maxDebtMs: MAX_WORK_DEBT_MS, now });
  metrics.registerGauge("client_memory_bytes", {
    help: "Memory that is charged to clients.",
    read: () => account.usedBytes,
  });
  return { account, work, readBrake: new ReadBrake(), logger, metrics, now };
}
