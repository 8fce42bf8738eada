/** Splits events into appends within the store's size limit. */
import type { SliceEvent } from "./slice_state.ts";

/** Maximum size of an append: below the store's limit for one call. */
export const MAX_APPEND_BYTES = 1_500_000;

/** Approximate size of an event's record in the log. */
export function estimateEventBytes(event: SliceEvent): number {
  const overheadBytes = 100;
  if (event.case === "turn") return event.value.content.length + overheadBytes;
  return event.case === "piece" ? event.value.data.length + overheadBytes : overheadBytes;
}

/** Splits events into appends of at most {@link MAX_APPEND_BYTES}. */
export function splitIntoAppends(events: readonly SliceEvent[]): SliceEvent[][] {
  const chunks: SliceEvent[][] = [[]];
  let bytes = 0;
  for (const event of events) {
    bytes += estimateEventBytes(event);
    if (bytes > MAX_APPEND_BYTES) {
      chunks.push([]);
      bytes = estimateEventBytes(event);
    }
    chunks[chunks.length - 1].push(event);
  }
  return chunks;
}
