/** Stand-in of the platform's metadata store: partitioned logs, keyed topics and consumer groups, in memory. */
import { createServer } from "node:http";

export const RECORD_BYTES = 262_144;
export const CALL_BYTES = 2_097_152;
const APPEND_MS = 4;
const MAX_KEYED_ITEMS = 500;

export class Store {
  #topics = new Map();
  #groups = new Map();
  #waiters = new Set();
  /** Counts of responses to appends by status, and bytes of the largest append that was refused for its size. */
  appendStatuses = new Map();
  largestRefusedBytes = 0;
  /** Partitions, as "topic/part", that are down: calls to them are answered 503, and nothing is done. */
  downPartitions = new Set();
  #server;
  #sockets = new Set();

  constructor(parts = 8) {
    this.parts = parts;
  }

  async listen(host) {
    this.#server = createServer((req, res) => this.#serve(req, res));
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  /** Writes a key of a keyed topic, as the operator and the runners do. */
  putKey(topic, key, value) {
    const name = Buffer.from(key);
    const record = Buffer.concat([Buffer.from([name.length]), name, Buffer.from(value ?? "")]);
    const partition = this.#partition(topic, 0);
    partition.records.push(record);
    this.#wake();
    return partition.records.length;
  }

  #partition(topic, part) {
    const key = `${topic}/${part}`;
    let partition = this.#topics.get(key);
    if (partition === undefined) {
      partition = { first: 0, records: [], queue: Promise.resolve() };
      this.#topics.set(key, partition);
    }
    return partition;
  }

  #wake() {
    for (const waiter of [...this.#waiters]) waiter();
  }

  #serve(req, res) {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => void this.#answer(req, res, Buffer.concat(chunks)));
    req.on("error", () => {});
    res.on("error", () => {});
  }

  async #answer(req, res, body) {
    const url = new URL(req.url, "http://store");
    const query = (name) => url.searchParams.get(name);
    if (this.downPartitions.has(`${query("Topic")}/${query("part")}`)) return json(res, 503, { why: "down" });
    switch (url.pathname) {
      case "/-/log-append":
        return this.#append(res, { topic: query("Topic"), part: Number(query("part")), at: query("At"), body });
      case "/-/log-read":
        return this.#read(res, {
          topic: query("Topic"),
          part: Number(query("part")),
          from: Number(query("From")),
          maxBytes: Number(query("MaxKb") ?? 1024) * 1024,
          waitMs: Number(query("WaitMs") ?? 0),
        });
      case "/-/log-trim": {
        const partition = this.#partition(query("Topic"), Number(query("part")));
        partition.first = Math.max(partition.first, Number(query("Before")));
        return json(res, 200, {});
      }
      case "/-/log-newest":
        return this.#newest(res, { topic: query("Topic"), after: query("after") });
      case "/-/log-join":
        return this.#join(res, JSON.parse(body));
      case "/-/log-leave": {
        const { group, Member } = JSON.parse(body);
        this.#group(group).leave(Member);
        return json(res, 200, {});
      }
      case "/-/log-owners":
        return json(res, 200, { parts: this.#group(query("group")).owners() });
      default:
        return json(res, 404, {});
    }
  }

  #append(res, { topic, part, at, body }) {
    const partition = this.#partition(topic, part);
    const reply = (status, value) => {
      this.appendStatuses.set(status, (this.appendStatuses.get(status) ?? 0) + 1);
      json(res, status, value);
    };
    const records = split(body);
    // The records of one call total at most CallBytes, and each has at most RecordBytes.
    if (body.length > CALL_BYTES || records.some(({ length }) => length > RECORD_BYTES)) {
      this.largestRefusedBytes = Math.max(this.largestRefusedBytes, body.length);
      return reply(413, { why: "size" });
    }
    partition.queue = partition.queue.then(async () => {
      await new Promise((resolve) => setTimeout(resolve, APPEND_MS));
      const end = partition.records.length;
      if (at !== null && Number(at) !== end) return reply(412, { End: end });
      partition.records.push(...records);
      reply(200, { Offset: end, End: partition.records.length });
      this.#wake();
    });
  }

  #read(res, { topic, part, from, maxBytes, waitMs }) {
    const partition = this.#partition(topic, part);
    if (from < partition.first) return json(res, 410, { First: partition.first });
    const send = () => {
      const selected = [];
      let bytes = 0;
      for (let at = from; at < partition.records.length; at++) {
        const record = partition.records[at];
        bytes += record.length + 4;
        if (selected.length > 0 && bytes > maxBytes) break;
        const length = Buffer.alloc(4);
        length.writeUInt32BE(record.length);
        selected.push(length, record);
      }
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(partition.records.length), 0);
      head.writeBigUInt64BE(BigInt(partition.first), 8);
      const reply = Buffer.concat([head, ...selected]);
      res.writeHead(200, { "content-length": reply.length });
      res.end(reply);
    };
    if (waitMs === 0 || from < partition.records.length) return send();
    const done = () => {
      if (timer !== undefined && from >= partition.records.length && !isOver) return;
      clearTimeout(timer);
      this.#waiters.delete(done);
      if (!res.destroyed) send();
    };
    let isOver = false;
    const timer = setTimeout(() => {
      isOver = true;
      done();
    }, waitMs);
    this.#waiters.add(done);
    res.on("close", () => {
      clearTimeout(timer);
      this.#waiters.delete(done);
    });
  }

  #newest(res, { topic, after }) {
    const { records, first } = this.#partition(topic, 0);
    const newest = new Map();
    records.forEach((record, offset) => {
      const key = record.subarray(1, 1 + record[0]).toString();
      const value = record.subarray(1 + record[0]);
      newest.delete(key);
      if (value.length > 0) newest.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
    });
    const items = [...newest.values()].sort((a, b) => a.Key < b.Key ? -1 : 1).filter(({ Key }) =>
      after === null || Key > after
    );
    const page = items.slice(0, MAX_KEYED_ITEMS);
    json(res, 200, { items: page, HasMore: page.length < items.length, End: Math.max(records.length, first) });
  }

  #group(name) {
    let group = this.#groups.get(name);
    if (group === undefined) {
      group = new Group(this.parts);
      this.#groups.set(name, group);
    }
    return group;
  }

  #join(res, { group, Member, Topics, TtlMs, Generation }) {
    json(res, 200, this.#group(group).join(Member, { topics: Topics, ttlMs: TtlMs, generation: Generation }));
  }
}

/** Distributes partitions evenly; one that moves is given to its next member once its former one has let go of it. */
class Group {
  #parts;
  #partitions = [];
  #members = new Map();
  /** By partition: the member that holds it, and the one that is to get it. */
  #held = new Map();
  #target = new Map();
  #generation = 0;

  constructor(parts) {
    this.#parts = parts;
  }

  join(name, { topics, ttlMs, generation }) {
    this.#expire();
    if (this.#partitions.length === 0) {
      this.#partitions = topics.flatMap((topic) => Array.from({ length: this.#parts }, (_, part) => `${topic}/${part}`));
    }
    const isNew = !this.#members.has(name);
    this.#members.set(name, { ttlMs, lastMs: Date.now(), generation: 0 });
    if (isNew) this.#assign();
    const member = this.#members.get(name);
    member.generation = isNew ? 0 : generation;
    for (const [partition, target] of this.#target) {
      const holder = this.#held.get(partition);
      const isFree = holder === undefined || !this.#members.has(holder) ||
        (holder !== target && this.#members.get(holder).generation >= this.#generation);
      if (isFree) this.#held.set(partition, target);
    }
    const parts = [...this.#held].filter(([partition, holder]) =>
      holder === name && this.#target.get(partition) === name
    ).map(([partition]) => row(partition, 0));
    return { Generation: this.#generation, TtlMs: ttlMs, parts };
  }

  leave(name) {
    if (!this.#members.delete(name)) return;
    this.#dropHolder(name);
    this.#assign();
  }

  owners() {
    this.#expire();
    return [...this.#held].map(([partition, member]) => [...row(partition), member, 0]);
  }

  #dropHolder(name) {
    for (const [partition, holder] of this.#held) if (holder === name) this.#held.delete(partition);
  }

  #expire() {
    const now = Date.now();
    let hasChanged = false;
    for (const [name, { ttlMs, lastMs }] of this.#members) {
      if (now - lastMs <= ttlMs) continue;
      this.#members.delete(name);
      this.#dropHolder(name);
      hasChanged = true;
    }
    if (hasChanged) this.#assign();
  }

  #assign() {
    this.#generation += 1;
    const names = [...this.#members.keys()].sort();
    this.#target.clear();
    if (names.length === 0) return;
    this.#partitions.forEach((partition, index) => this.#target.set(partition, names[index % names.length]));
  }
}

function row(partition, ...rest) {
  const slash = partition.lastIndexOf("/");
  return [partition.slice(0, slash), Number(partition.slice(slash + 1)), ...rest];
}

function split(body) {
  const records = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function json(res, status, value) {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, { "content-type": "application/json", "content-length": body.length });
  res.end(body);
}
