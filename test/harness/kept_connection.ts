/** Caller's connection that is kept for many requests and reads their responses from the raw bytes. */
import type { Socket } from "node:net";
import { connect } from "node:net";

export interface IReceivedResponse {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

export class KeptConnection {
  readonly #socket: Socket;
  #text = "";
  #isEnded = false;
  #error: Error | undefined;
  #notify = () => {};

  constructor({ host, port }: { host: string; port: number }) {
    this.#socket = connect(port, host);
    this.#socket.setNoDelay(true);
    this.#socket.on("data", (chunk: Buffer) => {
      this.#text += chunk.toString("latin1");
      this.#notify();
    });
    this.#socket.on("error", (err) => this.#error = err);
    this.#socket.on("close", () => {
      this.#isEnded = true;
      this.#notify();
    });
  }

  /** How the connection ended, and how much of an incomplete response arrived. */
  describeEnd(): string {
    return `${this.#error?.message ?? "closed"} after ${this.#text.length} bytes of a response`;
  }

  write(text: string): void {
    this.#socket.write(text, "latin1");
  }

  /** Waits until a text has been received, or the connection has ended. */
  async awaitText(text: string): Promise<void> {
    while (!this.#text.includes(text) && !this.#isEnded) await this.#nextChange();
  }

  /** Reads the next response; undefined if the connection ends before it is complete. */
  async readResponse(): Promise<IReceivedResponse | undefined> {
    while (true) {
      const parsed = parseResponse(this.#text);
      if (parsed !== undefined) {
        this.#text = this.#text.slice(parsed.length);
        return parsed.response;
      }
      if (this.#isEnded) return undefined;
      await this.#nextChange();
    }
  }

  close(): void {
    this.#socket.destroy();
  }

  #nextChange(): Promise<void> {
    return new Promise((resolve) => this.#notify = resolve);
  }
}

function parseResponse(text: string): { response: IReceivedResponse; length: number } | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1]);
  if (!Number.isInteger(status)) throw new Error(`not a response: ${text.slice(0, 80)}`);
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
  }));
  const start = headEnd + 4;
  if (headers.get("transfer-encoding") !== "chunked") {
    const length = start + Number(headers.get("content-length") ?? 0);
    if (text.length < length) return undefined;
    return { response: { status, headers, body: text.slice(start, length) }, length };
  }
  let body = "";
  for (let position = start;;) {
    const lineEnd = text.indexOf("\r\n", position);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(position, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (text.length < end) return undefined;
    if (size === 0) return { response: { status, headers, body }, length: end };
    body += text.slice(lineEnd + 2, end - 2);
    position = end;
  }
}
