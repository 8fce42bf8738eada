import { fromBinary, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { StrikeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { ContentPart } from "./request_keys.ts";
import type { IStrike } from "./strike_ledger.ts";
import { toStrikeMessage } from "./strike_message.ts";

test("a strike keeps its keys in a message, and one of an old build has none", (t) => {
  const times = { startedAtMs: 3, atMs: 4, sentAtMs: 2 };
  const rest = { fingerprint: 7n, level: 2, backendId: "b", ...times, isProven: true };
  const keys = [
    { hash: 2n ** 64n - 1n, parts: ContentPart.Target, wasSuspected: true },
    { hash: 0n, parts: 34, wasSuspected: false },
  ];
  const read = (strike: IStrike) => fromBinary(StrikeSchema, toBinary(StrikeSchema, toStrikeMessage(strike)));
  const { $typeName: _, keys: readKeys, ...readRest } = read({ ...rest, keys });
  t.deepEqual(readRest, rest);
  t.deepEqual(readKeys.map(({ hash, parts, wasSuspected }) => ({ hash, parts, wasSuspected })), keys);
  t.deepEqual(read(rest).keys, []);
});
