/** Encodes reports as datagrams. */
import { toBinary } from "@bufbuild/protobuf";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { LoadDigestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ReportEvents } from "./report_events.ts";
import { countEvents } from "./report_events.ts";
import { makeEventDigest } from "./outgoing_report.ts";

/** Largest payload of a UDP datagram over IPv4. */
const MAX_DATAGRAM_BYTES = 65_507;

/**
 * Encodes a report, in several messages if its events do not fit into one: the ids of servers and requests are of any length. An event
 * that does not fit even alone is left out.
 */
export function encodeReport(digest: LoadDigest): Uint8Array[] {
  const message = toBinary(LoadDigestSchema, digest);
  if (message.length <= MAX_DATAGRAM_BYTES) return [message];
  // What the receiver replaces by each report goes first, without the events.
  if (digest.instance !== "") {
    const alone = toBinary(LoadDigestSchema, { ...digest, ...NO_EVENTS });
    const others = encodeReport(makeEventDigest({ ...eventsOf(digest), kind: digest.kind }));
    return alone.length <= MAX_DATAGRAM_BYTES ? [alone, ...others] : others;
  }
  if (countEvents(digest) <= 1) return [];
  return splitEvents(digest).flatMap((events) =>
    encodeReport(makeEventDigest({ ...events, kind: digest.kind }))
  );
}

const NO_EVENTS: ReportEvents = {
  strikeChanges: [],
  prefixes: [],
  streams: [],
  leaving: [],
  limits: [],
  latencySamples: [],
  serverAnswers: [],
};

function eventsOf(digest: LoadDigest): ReportEvents {
  const { strikeChanges, prefixes, streams, leaving, limits, latencySamples, serverAnswers } = digest;
  return { strikeChanges, prefixes, streams, leaving, limits, latencySamples, serverAnswers };
}

/** Splits the events into halves; of kinds with one event, the first half gets every second one. */
function splitEvents(digest: LoadDigest): [ReportEvents, ReportEvents] {
  const first: Record<string, unknown[]> = {};
  const second: Record<string, unknown[]> = {};
  let isFirst = true;
  for (const [kind, events] of Object.entries(eventsOf(digest))) {
    const middle = isFirst ? Math.ceil(events.length / 2) : Math.floor(events.length / 2);
    if (events.length % 2 === 1) isFirst = !isFirst;
    first[kind] = events.slice(0, middle);
    second[kind] = events.slice(middle);
  }
  return [first as unknown as ReportEvents, second as unknown as ReportEvents];
}
