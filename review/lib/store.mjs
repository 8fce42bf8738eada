// Stand-in of the platform's store, in memory, as PROTOCOL.md describes it ("The platform's metadata store").
// It loses nothing that it has acknowledged, answers in order, and keeps to the limits of the settings.
import http from "node:http";

const RECORD_BYTES = 262144;
const CALL_BYTES = 2097152;
const APPEND_MS = 4;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

class Partition {
  first = 0;
  records = [];
  waiters = new Set();
  queue = Promise.resolve();
  get end() {
    return this.first + this.records.length;
  }
  add(records) {
    this.records.push(...records);
    for (const wake of this.waiters) wake();
    this.waiters.clear();
  }
}

export class Store {
  topics = new Map();
  groups = new Map();
  /** Appends that were refused because of their size. */
  oversized = 0;
  /** Returns "ok", "lost" (done, not answered) or "refused" for a call; set by a case. */
  faultOf = () => "ok";

  constructor({ parts = 8, onEvent = () => {} } = {}) {
    this.parts = parts;
    this.onEvent = onEvent;
    this.server = http.createServer((req, res) => this.#handle(req, res));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host, port = 0) {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => resolve(this.server.address().port));
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  partition(topic, part) {
    const key = `${topic}/${part}`;
    if (!this.topics.has(key)) this.topics.set(key, new Partition());
    return this.topics.get(key);
  }

  /** Writes a key of a keyed topic, as the operator and the servers do. */
  putKey(topic, key, value) {
    const name = Buffer.from(key);
    const text = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.partition(topic, 0).add([Buffer.concat([Buffer.from([name.length]), name, text])]);
  }

  async #handle(req, res) {
    const url = new URL(req.url, "http://store");
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const call = `${req.method} ${url.pathname}`;
    const fault = this.faultOf(call, url.searchParams, req);
    if (fault === "refused") return reply(res, 503, {});
    const answer = await this.#call(call, url.searchParams, body);
    if (fault === "lost") return;
    reply(res, ...answer);
  }

  async #call(call, query, body) {
    const topic = query.get("Topic");
    const part = Number(query.get("part") ?? 0);
    switch (call) {
      case "POST /-/log-append":
        return await this.#append(topic, part, query, body);
      case "GET /-/log-read":
        return await this.#read(this.partition(topic, part), query);
      case "POST /-/log-trim": {
        const partition = this.partition(topic, part);
        const count = Math.max(0, Math.min(Number(query.get("Before")) - partition.first, partition.records.length));
        partition.records.splice(0, count);
        partition.first += count;
        return [200, {}];
      }
      case "GET /-/log-newest":
        return this.#newest(this.partition(topic, part), query);
      case "POST /-/log-join":
        return [200, this.#join(JSON.parse(body))];
      case "POST /-/log-leave":
        return [200, this.#leave(JSON.parse(body))];
      case "POST /-/log-commit":
        return [200, {}];
      case "GET /-/log-owners":
        return [200, { parts: this.#owners(query.get("group")) }];
      default:
        return [404, {}];
    }
  }

  async #append(topic, part, query, body) {
    const records = decode(body);
    if (body.length > CALL_BYTES || records.some((record) => record.length > RECORD_BYTES)) {
      this.oversized += 1;
      this.onEvent({ event: "append-too-large", topic, part, bytes: body.length });
      return [413, {}];
    }
    const partition = this.partition(topic, part);
    const work = partition.queue.then(async () => {
      await sleep(APPEND_MS);
      const at = query.get("At");
      if (at !== null && Number(at) !== partition.end) return [412, { End: partition.end }];
      const offset = partition.end;
      partition.add(records);
      return [200, { Offset: offset, End: partition.end }];
    });
    partition.queue = work;
    return await work;
  }

  async #read(partition, query) {
    const from = Number(query.get("From"));
    const waitMs = Number(query.get("WaitMs") ?? 0);
    const maxBytes = Number(query.get("MaxKb") ?? 1024) * 1024;
    if (from < partition.first) return [410, { First: partition.first }];
    if (from >= partition.end && waitMs > 0) {
      await Promise.race([sleep(waitMs), new Promise((resolve) => partition.waiters.add(resolve))]);
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const parts = [head];
    let bytes = 0;
    for (const record of partition.records.slice(Math.max(0, from - partition.first))) {
      bytes += record.length + 4;
      if (bytes > maxBytes && parts.length > 1) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
    }
    return [200, Buffer.concat(parts)];
  }

  #newest(partition, query) {
    const newest = new Map();
    partition.records.forEach((record, index) => {
      const key = record.subarray(1, 1 + record[0]).toString();
      const value = record.subarray(1 + record[0]);
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { Key: key, Value: value.toString("base64"), Offset: partition.first + index });
    });
    const after = query.get("after") ?? "";
    const keys = [...newest.keys()].sort().filter((key) => key > after);
    const page = keys.slice(0, 500);
    return [200, { items: page.map((key) => newest.get(key)), HasMore: keys.length > page.length, End: partition.end }];
  }

  #group(name) {
    if (!this.groups.has(name)) {
      this.groups.set(name, { generation: 0, members: new Map(), topics: [], owner: new Map(), target: new Map() });
    }
    return this.groups.get(name);
  }

  #rebalance(group) {
    group.generation += 1;
    const members = [...group.members.keys()].sort();
    const keys = group.topics.flatMap((topic) => Array.from({ length: this.parts }, (_, part) => `${topic} ${part}`));
    group.target = new Map(keys.map((key, index) => [key, members[index % members.length]]));
    for (const key of keys) if (!group.members.has(group.owner.get(key))) group.owner.set(key, group.target.get(key));
  }

  #expire(group) {
    const now = performance.now();
    const lost = [...group.members].filter(([, { untilMs }]) => untilMs < now).map(([member]) => member);
    for (const member of lost) group.members.delete(member);
    if (lost.length > 0) this.#rebalance(group);
  }

  #join({ group: name, Member, Topics, TtlMs, Generation }) {
    const group = this.#group(name);
    this.#expire(group);
    const isNew = !group.members.has(Member);
    group.members.set(Member, { untilMs: performance.now() + TtlMs });
    if (isNew || group.topics.length === 0) {
      group.topics = Topics;
      this.#rebalance(group);
    }
    // A member that confirms the generation gives up what is no longer listed for it.
    if (Generation >= group.generation) {
      for (const [key, owner] of group.owner) if (owner === Member) group.owner.set(key, group.target.get(key));
    }
    const listed = [...group.target].filter(([key, member]) => member === Member && group.owner.get(key) === Member);
    return {
      Generation: group.generation,
      TtlMs,
      parts: listed.map(([key]) => [key.split(" ")[0], Number(key.split(" ")[1]), 0]),
    };
  }

  #leave({ group: name, Member }) {
    const group = this.#group(name);
    if (group.members.delete(Member)) this.#rebalance(group);
    return {};
  }

  #owners(name) {
    const group = this.#group(name);
    this.#expire(group);
    return [...group.owner].filter(([, member]) => member !== undefined).map((
      [key, member],
    ) => [key.split(" ")[0], Number(key.split(" ")[1]), member, 0]);
  }
}

function decode(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(Buffer.from(body.subarray(at + 4, end)));
    at = end;
  }
  return records;
}

function reply(res, status, body) {
  if (res.destroyed) return;
  const isRaw = Buffer.isBuffer(body);
  const bytes = isRaw ? body : Buffer.from(JSON.stringify(body));
  res.writeHead(status, {
    "content-type": isRaw ? "application/octet-stream" : "application/json",
    "content-length": bytes.length,
  });
  res.end(bytes);
}
