#!/usr/bin/env node
/** Entry point of ragwortcleatd, the daemon of a scheduler instance. */
import process from "node:process";
import { cac } from "cac";
import { Deferred, Effect } from "effect";
import { toError } from "../base/common/errors.ts";
import { startDaemon } from "./node/daemon.ts";
import { loadSettings } from "./node/settings_file.ts";

/** Exit codes; documented for operators. */
enum ExitCode {
  Ok = 0,
  Failed = 1,
  BadSettings = 2,
  /** The log deleted entries that this instance had not read; the process must be restarted. */
  MissedEntries = 3,
}

interface IOptions {
  readonly config?: string;
  readonly check?: boolean;
}

function exit(code: ExitCode): never {
  process.exit(code);
}

function run({ config, check }: IOptions): void {
  if (config === undefined) {
    console.error("ragwortcleatd: --config FILE is required; see --help");
    exit(ExitCode.BadSettings);
  }
  const loaded = loadOrExit(config);
  if (check) {
    console.log(`${config}: ok`);
    exit(ExitCode.Ok);
  }
  const main = Effect.gen(function* () {
    const stopRequested = Deferred.makeUnsafe<void>();
    const requestStop = () => Deferred.doneUnsafe(stopRequested, Effect.void);
    process.on("SIGTERM", requestStop);
    process.on("SIGINT", requestStop);
    const daemon = yield* startDaemon(loaded, requestStop);
    daemon.core.journal.onDidMissEntries(() => exit(ExitCode.MissedEntries));
    yield* Deferred.await(stopRequested);
    yield* daemon.drain;
  });
  Effect.runPromise(Effect.scoped(main)).then(() => exit(ExitCode.Ok), (err) => {
    console.error(`ragwortcleatd: ${toError(err).message}`);
    exit(ExitCode.Failed);
  });
}

function loadOrExit(path: string): ReturnType<typeof loadSettings> {
  try {
    return loadSettings(path);
  } catch (err) {
    console.error(toError(err).message);
    exit(ExitCode.BadSettings);
  }
}

const cli = cac("ragwortcleatd");
cli.command("", "Run one instance of the scheduler")
  .option("--config <file>", "Settings of this instance, JSON with comments")
  .option("--check", "Check the settings and exit")
  .action(run);
cli.help();
cli.parse();
