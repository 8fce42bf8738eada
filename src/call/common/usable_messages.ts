/**
 * Checks of what other processes write into the store or send: a field that no instance writes so makes its message unusable,
 * however it got there. What is accepted is compared, summed up, stored and passed on.
 */
import type {
  Allotment,
  BegunStream,
  KeyedSnapshot,
  ServerLimit,
  ServerRun,
  Strike,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IServerLimit } from "../../services/backends/common/server_limits.ts";
import type { IKeyedItems } from "../../services/store/common/partitioned_log.ts";
import { fromLimitMessage } from "./limit_message.ts";

/** Maximum length of a name, in UTF-16 units; that of the ids of servers and of the store's keys in bytes. */
const MAX_NAME_CHARS = 255;
/** Maximum length of an id that a caller chooses, in UTF-16 units: that of all headers of a request. */
const MAX_CALLER_ID_CHARS = 32 * 1024;
/** Time by which the clock of another process may be ahead, in ms. Later times would never expire. */
const MAX_CLOCK_LEAD_MS = 24 * 60 * 60_000;
/** More crashes than a request that is refused after a few of them can have caused. */
const MAX_STRIKE_LEVEL = 1000;
/** More keys than a request has parts and pairs of parts. */
const MAX_STRIKE_KEYS = 64;
const PEER_ADDRESS = /^[\w.-]{1,255}:([1-9]\d{0,4})$/;
const MAX_PORT = 65_535;

export function isUsableName(name: string): boolean {
  return name !== "" && name.length <= MAX_NAME_CHARS;
}

/** Whether a Unix time in ms lies between 1970 and tomorrow. */
export function isUsableTime(atMs: number, now: number): boolean {
  return atMs >= 0 && atMs <= now + MAX_CLOCK_LEAD_MS;
}

export function isUsableRun(run: ServerRun | undefined, now: number): run is ServerRun {
  return run !== undefined && isUsableName(run.backendId) && Number.isInteger(run.startedAtMs) &&
    isUsableTime(run.startedAtMs, now);
}

export function isUsableStrike(strike: Strike | undefined, now: number): strike is Strike {
  if (strike === undefined) return false;
  const { backendId, startedAtMs, atMs, sentAtMs, level, keys } = strike;
  return isUsableName(backendId) && [startedAtMs, atMs, sentAtMs].every((time) => isUsableTime(time, now)) &&
    level <= MAX_STRIKE_LEVEL && keys.length <= MAX_STRIKE_KEYS;
}

export function isUsableStream(
  { attemptId, service, softwareVersion, atMs }: BegunStream,
  now: number,
): boolean {
  return attemptId !== "" && attemptId.length <= MAX_CALLER_ID_CHARS && isUsableName(service) &&
    isUsableName(softwareVersion) && isUsableTime(atMs, now);
}

/** Returns undefined for an unusable message. */
export function toUsableLimit(message: ServerLimit | undefined, now: number): IServerLimit | undefined {
  if (message === undefined || !isUsableRun(message.run, now)) return undefined;
  const { perSecond = 0, ageMs } = message;
  const isUsable = Number.isFinite(perSecond) && perSecond >= 0 && Number.isFinite(ageMs) && ageMs >= 0;
  return isUsable ? fromLimitMessage(message) : undefined;
}

export function isUsableAllotment(allotment: Allotment | undefined): allotment is Allotment {
  if (allotment === undefined) return false;
  const { perSecond, burst, version } = allotment;
  return [perSecond, burst].every((value) => Number.isFinite(value) && value >= 0) &&
    Number.isSafeInteger(version);
}

/** Whether an address is a host and a port at which an instance can be called. */
export function isUsablePeerAddress(address: string): boolean {
  const [, port] = PEER_ADDRESS.exec(address) ?? [];
  return port !== undefined && Number(port) <= MAX_PORT;
}

/** Returns undefined for a snapshot with offsets that no topic has. */
export function toUsableItems(snapshot: KeyedSnapshot | undefined): IKeyedItems | undefined {
  if (snapshot === undefined) return undefined;
  const { items, end } = snapshot;
  const isUsable = [end, ...items.map(({ offset }) => offset)].every((offset) =>
    Number.isSafeInteger(offset) && offset >= 0
  );
  return isUsable ? { items, end } : undefined;
}
