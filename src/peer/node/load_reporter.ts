/** Exchanges reports with other instances as UDP datagrams. */
import type { Socket } from "node:dgram";
import { createSocket } from "node:dgram";
import { fromBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import type { IDisposable } from "../../base/common/emitter.ts";
import { toError } from "../../base/common/errors.ts";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { LoadDigestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { BoundedLog } from "../../services/logging/common/bounded_log.ts";
import { describeDefect, supervise } from "../../services/logging/common/supervision.ts";
import { encodeReport } from "../common/encode_report.ts";
import type { IOutgoingReport } from "../common/outgoing_report.ts";
import type { ReportExchange } from "../common/report_exchange.ts";

export interface ILoadReporterOptions {
  readonly host: string;
  /** All instances use the same port. */
  readonly port: number;
  readonly exchange: ReportExchange;
  readonly logger: ILogger;
}

/** Sends what a {@link ReportExchange} decides to send, and hands over to it what arrives. */
export class LoadReporter {
  readonly #opts: ILoadReporterOptions;
  readonly #socket: Socket;
  readonly #subscription: IDisposable;
  readonly #unreadable: BoundedLog;
  #isDisposed = false;
  #hasLoggedSendFailure = false;

  constructor(opts: ILoadReporterOptions) {
    this.#opts = opts;
    this.#unreadable = new BoundedLog(
      (event, fields) => opts.logger.warn(event, fields),
      () => performance.now(),
    );
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (message, { address }) => this.#receive(message, address));
    this.#socket.on("error", (err) => opts.logger.warn("load-datagrams-failed", { error: err.message }));
    // A timer may fire up to 1 ms early by the clock.
    this.#subscription = opts.exchange.onDidHurry((delayMs) =>
      setTimeout(() => this.#sendDue(), delayMs + 1).unref()
    );
  }

  listen(): Promise<void> {
    const { host, port } = this.#opts;
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Sends reports until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const report = Effect.gen({ self: this }, function* () {
      while (true) {
        this.#sendDue();
        yield* Effect.sleep(Math.max(1, this.#opts.exchange.nextDueInMs));
      }
    });
    const { logger } = this.#opts;
    return Effect.asVoid(Effect.forkScoped(supervise(report, { component: "reports", logger })));
  }

  dispose(): void {
    this.#isDisposed = true;
    this.#subscription.dispose();
    this.#socket.close();
  }

  /** An error thrown here would end the process: it is also called by a timer. */
  #sendDue(): void {
    if (this.#isDisposed) return;
    try {
      for (const report of this.#opts.exchange.takeDue()) this.#send(report);
    } catch (err) {
      this.#opts.logger.error("load-report-failed", { error: describeDefect(err) });
    }
  }

  #send({ recipients, digest }: IOutgoingReport): void {
    const { port } = this.#opts;
    for (const message of this.#encode(digest)) {
      for (const host of recipients) {
        this.#socket.send(message, port, host, (err) => this.#handleSendResult(err));
      }
    }
  }

  /** Returns nothing for a report that no message can hold; those to other recipients are sent all the same. */
  #encode(digest: LoadDigest): Uint8Array[] {
    try {
      return encodeReport(digest);
    } catch (err) {
      this.#opts.logger.error("load-report-failed", { error: describeDefect(err) });
      return [];
    }
  }

  #handleSendResult(err: Error | null): void {
    if (err === null || this.#hasLoggedSendFailure) return;
    this.#hasLoggedSendFailure = true;
    this.#opts.logger.warn("load-datagram-not-sent", { error: err.message });
  }

  #receive(message: Uint8Array, sender: string): void {
    try {
      this.#opts.exchange.receive(fromBinary(LoadDigestSchema, message), sender);
    } catch (err) {
      this.#unreadable.log("load-datagram-unreadable", { sender, error: toError(err).message });
    }
  }
}
