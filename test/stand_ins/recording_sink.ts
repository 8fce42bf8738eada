/** Response sink that records what the caller receives. */
import type { IResponseSink } from "../../src/call/common/opaque_request.ts";

export class RecordingSink implements IResponseSink {
  status = 0;
  headers: readonly string[] = [];
  text = "";
  isEnded = false;
  isAborted = false;

  get hasStarted(): boolean {
    return this.status !== 0;
  }

  respond(status: number, headers: readonly string[], body: Uint8Array): void {
    this.startStream(status, headers);
    this.write(body);
    this.end();
  }

  startStream(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }

  write(chunk: Uint8Array): void {
    this.text += Buffer.from(chunk).toString();
  }

  end(): void {
    this.isEnded = true;
  }

  abort(): void {
    this.isAborted = true;
  }
}
