/** Server that listens but accepts no connection, as its event loop stands still. */
import { once } from "node:events";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";

/** The system completes this many connections, one more than the backlog. */
const BACKLOG = 1;
const WORKER_CODE = `
const { parentPort, workerData } = require("node:worker_threads");
const server = require("node:net").createServer();
server.listen({ port: 0, host: "127.0.0.1", backlog: ${BACKLOG} }, () => {
  parentPort.postMessage(server.address().port);
  Atomics.wait(workerData, 0, 0);
});
`;

export class UnacceptingServer {
  readonly port: number;
  readonly #worker: Worker;
  readonly #wakeFlag: Int32Array;
  readonly #sockets: Socket[] = [];

  private constructor(worker: Worker, { port, wakeFlag }: { port: number; wakeFlag: Int32Array }) {
    this.port = port;
    this.#worker = worker;
    this.#wakeFlag = wakeFlag;
  }

  static async start(): Promise<UnacceptingServer> {
    const wakeFlag = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(WORKER_CODE, { eval: true, workerData: wakeFlag });
    const [port] = await once(worker, "message") as [number];
    return new UnacceptingServer(worker, { port, wakeFlag });
  }

  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Fills the backlog beside the connections established already, so that further ones are not established. */
  async fill(establishedCount = 0): Promise<void> {
    for (let count = establishedCount; count <= BACKLOG; count++) {
      const socket = connect(this.port, "127.0.0.1");
      socket.on("error", () => {});
      this.#sockets.push(socket);
      await once(socket, "connect");
    }
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) socket.destroy();
    Atomics.store(this.#wakeFlag, 0, 1);
    Atomics.notify(this.#wakeFlag, 0);
    await this.#worker.terminate();
  }
}
