/** HTTP fake of the platform's store over its in-memory fake, with long polls. */
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Effect, Result } from "effect";
import { PartitionedLogCore } from "../../test/stand_ins/partitioned_log_core.ts";

/** The platform names the partitions of a keyed topic in this way. */
const KEYED_PREFIX = "keyed.";
const OFFSETS_BYTES = 16;
const LENGTH_BYTES = 4;
/** Interval at which a long poll looks for new records. */
const POLL_MS = 20;

export class StoreFake {
  readonly core = new PartitionedLogCore();
  readonly #server: Server = createServer((req, res) => void this.#handle(req, res));

  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  dispose(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(req.url!, "http://store");
    const body = Buffer.concat(await req.toArray());
    const topic = searchParams.get("Topic") ?? "";
    const partition = { topic, part: Number(searchParams.get("part")) };
    const reply = (value: unknown, status = 200) => res.writeHead(status).end(JSON.stringify(value));
    switch (pathname) {
      case "/-/log-read": {
        const waitMs = Number(searchParams.get("WaitMs") ?? 0);
        const page = await this.#read(topic, {
          ...partition,
          from: Number(searchParams.get("From")),
          waitMs,
        });
        return void res.writeHead(200).end(page);
      }
      case "/-/log-newest": {
        const { items, end } = await Effect.runPromise(this.core.readLatestValues(topic));
        const rows = items.map(({ key, value, offset }) => ({
          Key: key,
          Value: Buffer.from(value).toString("base64"),
          Offset: offset,
        }));
        return void reply({ items: rows, HasMore: false, End: end });
      }
      case "/-/log-append": {
        const records = decode(body);
        if (!topic.startsWith(KEYED_PREFIX)) {
          const append = this.core.append(partition, records, Number(searchParams.get("At")));
          const { isAppended, end } = await Effect.runPromise(append);
          return void reply({ End: end }, isAppended ? 200 : 412);
        }
        for (const record of records) {
          const value = record.subarray(1 + record[0]);
          const key = record.subarray(1, 1 + record[0]).toString("utf8");
          this.core.putKey(topic, key, value.length === 0 ? undefined : value);
        }
        return void reply({ End: 0 });
      }
      case "/-/log-trim":
        await Effect.runPromise(this.core.trim(partition, Number(searchParams.get("Before"))));
        return void reply({});
      case "/-/log-join": {
        const { group, Member: member, Topics: topics, TtlMs: ttlMs, Generation: generation } = JSON.parse(
          body.toString("utf8"),
        );
        const join = this.core.join({ group, member, topics, ttlMs, generation });
        const assignment = await Effect.runPromise(join);
        const parts = assignment.partitions.map(({ topic, part }) => [topic, part, 0]);
        return void reply({ Generation: assignment.generation, parts });
      }
      case "/-/log-leave": {
        const { group, Member: member } = JSON.parse(body.toString("utf8"));
        await Effect.runPromise(this.core.leave(group, member));
        return void reply({});
      }
      case "/-/log-owners": {
        const owners = await Effect.runPromise(this.core.owners(searchParams.get("group") ?? ""));
        return void reply(owners.map(({ partition: { topic, part }, member }) => [topic, part, member, 0]));
      }
      default:
        reply({}, 404);
    }
  }

  async #read(
    topic: string,
    { part, from, waitMs }: { part: number; from: number; waitMs: number },
  ): Promise<Buffer> {
    const deadlineMs = Date.now() + waitMs;
    while (true) {
      const [records, end] = await this.#recordsFrom(topic, { part, from });
      if (records.length > 0 || Date.now() >= deadlineMs) return encode(records, end);
      await delay(POLL_MS);
    }
  }

  async #recordsFrom(
    topic: string,
    { part, from }: { part: number; from: number },
  ): Promise<[Uint8Array[], number]> {
    if (!topic.startsWith(KEYED_PREFIX)) {
      const page = await Effect.runPromise(
        Effect.result(this.core.read({ topic, part }, { from, waitMs: 0 })),
      );
      if (Result.isFailure(page)) return [[], from];
      return [page.success.records.map(({ data }) => data), page.success.end];
    }
    const { changes, end } = await Effect.runPromise(this.core.readKeyChanges(topic, { from, waitMs: 0 }));
    const records = changes.map(({ key, value = new Uint8Array() }) =>
      Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value])
    );
    return [records, end];
  }
}

function encode(records: readonly Uint8Array[], end: number): Buffer {
  const offsets = Buffer.alloc(OFFSETS_BYTES);
  offsets.writeBigUInt64BE(BigInt(end));
  return Buffer.concat([
    offsets,
    ...records.flatMap((record) => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      return [length, record];
    }),
  ]);
}

function decode(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
}
