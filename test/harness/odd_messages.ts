/** Protocol buffer messages as other writers may write them: one field each has an unusual value. */
import type { DescField, DescMessage, Message } from "@bufbuild/protobuf";
import { clone, isMessage, ScalarType, toBinary } from "@bufbuild/protobuf";

export interface IOddMessage {
  /** The changed field and its value. */
  readonly name: string;
  readonly bytes: Uint8Array;
}

interface IOddValue {
  readonly name: string;
  readonly value: unknown;
}

const MAX_UINT32 = 2 ** 32 - 1;
const LONG_BYTES = 50_000;
/** Start of a group with the field number 1, an unknown field that contains the next one. */
const GROUP_START = 0x0b;

const ODD_DOUBLES = [NaN, Infinity, -Infinity, 1e300, -1e300, -1, 1_000_000.5, Number.MAX_SAFE_INTEGER];
const ODD_TEXTS = [
  "",
  "__proto__",
  "constructor",
  "a\r\nHost: b",
  "%s %d",
  "\ud800",
  "no-such-host.invalid:1",
  "127.0.0.1:0",
  "127.0.0.1:65536",
  "127.0.0.1:12345678901234567890123456",
  "x".repeat(LONG_BYTES),
  "[".repeat(LONG_BYTES),
];

/** Returns copies of a message of which each has one unusual field, at any depth; the others keep their values. */
export function oddVariantsOf<T extends Message>(schema: DescMessage, message: T): IOddMessage[] {
  return [...variantsOf(schema, message)].map(({ name, value }) => ({
    name,
    bytes: toBinary(schema, value as T),
  }));
}

/** Returns bytes that are no complete message. */
export function brokenBytesOf(bytes: Uint8Array): IOddMessage[] {
  const half = bytes.subarray(0, Math.floor(bytes.length / 2));
  return [
    { name: "half of a message", bytes: half },
    { name: "a message and a byte", bytes: Buffer.concat([bytes, Buffer.from([0xff])]) },
    { name: "nested groups", bytes: Buffer.alloc(LONG_BYTES, GROUP_START) },
    { name: "nested lists", bytes: Buffer.from("[".repeat(LONG_BYTES)) },
    { name: "no UTF-8", bytes: Buffer.alloc(LONG_BYTES, 0xff) },
    { name: "zeros", bytes: Buffer.alloc(LONG_BYTES) },
    { name: "an unknown field", bytes: Buffer.concat([bytes, unknownField(LONG_BYTES)]) },
    { name: "nothing", bytes: Buffer.alloc(0) },
  ];
}

/** Field number 1000 with content that no schema describes. */
function unknownField(size: number): Uint8Array {
  const length = [(size & 0x7f) | 0x80, ((size >> 7) & 0x7f) | 0x80, size >> 14];
  return Buffer.concat([Buffer.from([0xc2, 0x3e, ...length]), Buffer.alloc(size, 0x78)]);
}

function* variantsOf(schema: DescMessage, message: Message): Generator<IOddValue> {
  for (const field of schema.fields) {
    for (const { name, value } of valuesFor(field, readField(message, field))) {
      const copy = clone(schema, message);
      writeField(copy, { field, value });
      yield { name: `${field.name} ${name}`, value: copy };
    }
  }
}

function* valuesFor(field: DescField, current: unknown): Generator<IOddValue> {
  if (field.fieldKind === "list") {
    const items = (current ?? []) as readonly unknown[];
    yield { name: "empty", value: [] };
    const [first] = items;
    for (const { name, value } of itemsFor(field, first)) {
      yield { name, value: [value, ...items] };
    }
    return;
  }
  if (field.fieldKind === "message" || field.presence === 1) yield { name: "missing", value: undefined };
  yield* itemsFor(field, current);
}

function* itemsFor(field: DescField, current: unknown): Generator<IOddValue> {
  if (field.message !== undefined) {
    if (isMessage(current)) yield* variantsOf(field.message, current);
    return;
  }
  if (field.enum !== undefined) return yield { name: "99", value: 99 };
  for (const value of scalarsFor(field.scalar)) {
    yield { name: String(value).slice(0, 40), value };
  }
}

function scalarsFor(type: ScalarType | undefined): readonly unknown[] {
  switch (type) {
    case ScalarType.DOUBLE:
      return ODD_DOUBLES;
    case ScalarType.UINT32:
      return [0, MAX_UINT32];
    case ScalarType.FIXED64:
      return [0n, 2n ** 64n - 1n];
    case ScalarType.BOOL:
      return [false, true];
    case ScalarType.BYTES:
      return [Buffer.alloc(0), Buffer.alloc(LONG_BYTES, 0xff)];
    case ScalarType.STRING:
      return ODD_TEXTS;
    default:
      return [];
  }
}

interface IOneof {
  readonly case?: string | undefined;
  readonly value?: unknown;
}

function readField(message: Message, { oneof, localName }: DescField): unknown {
  const fields = message as unknown as Record<string, unknown>;
  if (oneof === undefined || oneof.fields.length === 1 && localName in fields) return fields[localName];
  const choice = fields[oneof.localName] as IOneof | undefined;
  return choice?.case === localName ? choice.value : undefined;
}

function writeField(
  message: Message,
  { field: { oneof, localName }, value }: { field: DescField; value: unknown },
): void {
  const fields = message as unknown as Record<string, unknown>;
  if (oneof === undefined) fields[localName] = value;
  else fields[oneof.localName] = value === undefined ? { case: undefined } : { case: localName, value };
}
