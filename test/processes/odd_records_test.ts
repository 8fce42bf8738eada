/**
 * Records of other writers in the topics of the instances, and messages to an instance's peer address and datagram port, of which
 * one field has an unusual value, in two whole gateways on real sockets: both go on serving, and what is good is used.
 */
import type { DescMessage, Message } from "@bufbuild/protobuf";
import { create, toBinary } from "@bufbuild/protobuf";
import type { ExecutionContext } from "ava";
import test from "ava";
import { Effect } from "effect";
import type { SliceRecord } from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  BegunStreamListSchema,
  BegunStreamSchema,
  LoadDigestSchema,
  ReportKind,
  SliceRecordSchema,
  StrikeSchema,
  TurnService,
} from "../../src/base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { STREAM_TOPIC, STRIKE_TOPIC } from "../harness/gateway_cluster.ts";
import { GatewayPair } from "../harness/gateway_pair.ts";
import type { IOddMessage } from "../harness/odd_messages.ts";
import { brokenBytesOf, oddVariantsOf } from "../harness/odd_messages.ts";

const HOSTS = ["127.0.0.66", "127.0.0.67"] as const;
const SETTINGS = { hedging: { maxExtraSends: 0.1 } };
const PROGRAMS = 8;
/** Upper bound of any log line. */
const MAX_LINE_CHARS = 5000;
/** Log events that show an unexpected error. */
const FAULTS: readonly unknown[] = [
  "internal-error",
  "component-failed",
  "slice-failed",
  "load-report-failed",
  "store-change-failed",
];

const NOW = Date.now();
const RUN = { backendId: "b0", startedAtMs: 1 };
const STRIKE = create(StrikeSchema, {
  ...RUN,
  fingerprint: 7n,
  level: 1,
  atMs: NOW,
  sentAtMs: NOW,
  keys: [{ hash: 1n, parts: 1 }],
});
const STREAM = create(BegunStreamSchema, {
  attemptId: "x",
  service: "s",
  softwareVersion: "1",
  atMs: NOW,
  contentKey: 1n,
});

/** A report of which each part is in use at the receiver; no part keeps the server from being used. */
function makeDigest(kind: ReportKind) {
  return create(LoadDigestSchema, {
    instance: "other",
    sentAtMs: NOW,
    kind,
    instanceCount: 1,
    loads: [{ backendId: "b0", running: 1 }],
    prefixes: [{ partId: "a", backendId: "b0", tokens: 1 }],
    strikeChanges: [{ strike: STRIKE }],
    streams: [STREAM],
    leaving: [{ backendId: "b0", startedAtMs: 0 }],
    limits: [{ run: RUN, perSecond: 1000, ageMs: 0 }],
    latencySamples: [{ routeHash: 1n, latencyMs: 1 }],
    cutOffHosts: ["127.0.0.99"],
    serverAnswers: [{ run: RUN, answers: 10, failures: 0 }],
  });
}

function variantsOf(schema: DescMessage, message: Message): IOddMessage[] {
  return [...oddVariantsOf(schema, message), ...brokenBytesOf(toBinary(schema, message))];
}

async function start(t: ExecutionContext, prepare?: (pair: GatewayPair) => void): Promise<GatewayPair> {
  const pair = new GatewayPair(HOSTS, SETTINGS);
  prepare?.(pair);
  await pair.start();
  t.teardown(() => pair.stop());
  await pair.awaitListRead();
  return pair;
}

let programs = 0;

/** Sends requests and turns through both gateways; returns the replies that are not those of the backend server. */
async function findUnserved(pair: GatewayPair): Promise<string[]> {
  const unserved: string[] = [];
  const check = (name: string, { status, text }: { status: number; text: string }) => {
    if (status !== 200) unserved.push(`${name}: ${status} ${text}`);
  };
  for (const host of pair.hosts) {
    check(`${host} safe`, await pair.send(host, "/safe/a"));
    check(`${host} unsafe`, await pair.send(host, "/unsafe/a"));
  }
  for (let i = 0; i < PROGRAMS; i++) {
    const programId = `p${++programs}`;
    const [first, second] = i % 2 === 0 ? pair.hosts : pair.hosts.toReversed();
    check("turn", await pair.sendTurn(first, { programId, turnId: `${programId}a` }));
    const turn = { programId, turnId: `${programId}b`, previousTurnId: `${programId}a` };
    check("continued turn", await pair.sendTurn(second, turn));
  }
  return unserved;
}

async function checkSound(t: ExecutionContext, pair: GatewayPair): Promise<void> {
  t.deepEqual(await findUnserved(pair), []);
  t.deepEqual(pair.lines.filter(({ event }) => FAULTS.includes(event)), []);
  t.deepEqual(pair.lines.filter((line) => JSON.stringify(line).length > MAX_LINE_CHARS), []);
}

/** Writes odd strikes, also as pending ones, and odd lists of streams, also under the name of an instance. */
function putOddRecords({ log }: GatewayPair): void {
  variantsOf(StrikeSchema, STRIKE).forEach(({ bytes }, index) => {
    log.putKey(STRIKE_TOPIC, `odd${index}`, bytes);
    log.putKey(STRIKE_TOPIC, `pending/odd${index}`, bytes);
  });
  const streams = create(BegunStreamListSchema, { streams: [STREAM] });
  variantsOf(BegunStreamListSchema, streams).forEach(({ bytes }, index) => {
    log.putKey(STREAM_TOPIC, `odd${index}`, bytes);
    log.putKey(STREAM_TOPIC, HOSTS[0], bytes);
  });
}

/** Writes a good strike and waits until both gateways have read it, and so all records before it. */
async function awaitStrikesRead(pair: GatewayPair): Promise<void> {
  pair.log.putKey(STRIKE_TOPIC, "unreadable-marker", Buffer.from([0xff]));
  const isRead = ({ key }: { readonly key?: unknown }) => key === "unreadable-marker";
  await pair.awaitLines(() =>
    pair.gateways.every((gateway) => gateway.linesOf("strike-unreadable").some(isRead))
  );
}

test.serial("odd strikes and streams in the store before the start", async (t) => {
  const pair = await start(t, putOddRecords);
  await awaitStrikesRead(pair);
  await checkSound(t, pair);
});

test.serial("odd strikes and streams that appear in the store later", async (t) => {
  const pair = await start(t);
  putOddRecords(pair);
  await awaitStrikesRead(pair);
  await checkSound(t, pair);
});

// Guards against servers that an odd start time takes out of use, and reports that can no longer be sent.
for (const kind of [ReportKind.UNSPECIFIED, ReportKind.MEMBER, ReportKind.GROUP, ReportKind.SUMMARY]) {
  test.serial(`odd reports of the kind ${ReportKind[kind]}`, async (t) => {
    const pair = await start(t);
    const unserved: string[] = [];
    for (const { name, bytes } of variantsOf(LoadDigestSchema, makeDigest(kind))) {
      for (const host of pair.hosts) {
        await pair.sendDatagrams(host, [bytes]);
        const { status, text } = await pair.send(host, "/unsafe/a");
        if (status !== 200) unserved.push(`${name}: ${status} ${text}`);
      }
    }
    t.deepEqual(unserved, []);
    await checkSound(t, pair);
    t.true(pair.linesOf("report-unusable").length <= pair.hosts.length);
  });
}

/** Messages of the calls between instances; those of the other calls are empty. */
const CALLS: Readonly<Record<string, Record<string, unknown>>> = {
  beginTurn: { programId: "other", turnId: "x", maxTokens: 1, budget: 10, retainMs: 1000, partIds: ["a"] },
  endTurn: {
    programId: "other",
    turnId: "x",
    tokens: 1,
    home: { partId: "a", backendId: "b0", tokens: 1 },
  },
  storeTurn: {
    turn: {
      turnId: "x",
      content: Buffer.from("a"),
      ancestors: [{ turnId: "y", storedAtMs: NOW }],
      storedAtMs: NOW,
      retainMs: 1000,
      programId: "other",
      tokens: 1,
    },
  },
  loadTurn: { turnId: "x" },
  releaseSlice: { slice: 0, writer: 1n },
  findStream: { attemptId: "x", contentKey: 1n },
  acquirePermit: { instance: "other", limit: { run: RUN, perSecond: 1000, ageMs: 0 }, maxWaitMs: 0 },
  acquireAllotment: {
    instance: "127.0.0.99:1",
    organisation: "o",
    allotment: { perSecond: 1, burst: 1, version: 1 },
    programId: "other",
    count: 1,
  },
  acquireHedge: { instance: "127.0.0.99:1", startedAtMs: NOW, service: "s", sends: 10, answeredSends: 1 },
};

test.serial("odd calls of other instances, over both protocols", async (t) => {
  const pair = await start(t);
  const unanswered: string[] = [];
  for (const method of TurnService.methods) {
    const path = `/${TurnService.typeName}/${method.name}`;
    const message = create(method.input, CALLS[method.localName] ?? {});
    for (const { name, bytes } of variantsOf(method.input, message)) {
      for (const host of pair.hosts) {
        for (const headers of [{}, { "Connect-Timeout-Ms": "5000" }]) {
          const { status } = await pair.callPeer(host, path, bytes, headers);
          if (status === 0) unanswered.push(`${method.name}, ${name}`);
        }
      }
    }
  }
  t.deepEqual(unanswered, []);
  await checkSound(t, pair);
});

const SLICE_EVENTS: readonly SliceRecord["event"][] = [
  create(SliceRecordSchema, {
    event: {
      case: "claim",
      value: {
        instance: "other",
        address: "127.0.0.1:1",
        atMs: NOW,
        uncleanAtMs: NOW,
        unrecordedPercent: 25,
      },
    },
  }).event,
  create(SliceRecordSchema, { event: { case: "release", value: {} } }).event,
  create(SliceRecordSchema, {
    event: {
      case: "spending",
      value: { programId: "x", spent: 1, running: [{ turnId: "x", maxTokens: 1 }], ahead: 1, atMs: NOW },
    },
  }).event,
  create(SliceRecordSchema, {
    event: {
      case: "turn",
      value: { turnId: "x", content: Buffer.from("a"), ancestors: [{ turnId: "y" }], storedAtMs: NOW },
    },
  }).event,
  create(SliceRecordSchema, {
    event: { case: "piece", value: { turnId: "x", index: 0, count: 1, data: Buffer.from("a") } },
  }).event,
];

/** Number of slices of a deployment with the settings of these tests. */
const SLICES = 32;
const PARTS = 8;

test.serial("odd records in the slices before the start", async (t) => {
  const records = SLICE_EVENTS.flatMap((event) =>
    variantsOf(SliceRecordSchema, create(SliceRecordSchema, { writer: 5n, appendNumber: 1, event }))
  ).map(({ bytes }) => bytes);
  const pair = await start(t, ({ log }) => {
    for (let slice = 0; slice < SLICES; slice++) {
      const partition = { topic: `slices-${Math.floor(slice / PARTS)}`, part: slice % PARTS };
      const mine = records.filter((_, index) => index % SLICES === slice);
      Effect.runSync(Effect.orDie(log.append(partition, mine, 0)));
    }
  });
  const countOpened = () => new Set(pair.linesOf("slice-opened").map(({ slice }) => slice)).size;
  await pair.awaitLines(() => countOpened() === SLICES);
  await checkSound(t, pair);
});
