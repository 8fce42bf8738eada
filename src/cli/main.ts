#!/usr/bin/env node
/** Entry point of the command-line tool for operators. */
import process from "node:process";
import { cac } from "cac";
import { ExitCode } from "./common/exit_code.ts";
import type { ICommonOptions } from "./node/commands.ts";
import { Commands, finish } from "./node/commands.ts";
import { explain } from "./node/explain.ts";
import { report } from "./node/report.ts";
import { status } from "./node/status.ts";

const DEFAULT_INSTANCE = "http://127.0.0.1:7001";
const DEFAULT_LOG = "http://127.0.0.1:7900";

const cli = cac("ragwortcleat");
cli.option("--instance <url>", "Instance to ask", {
  default: process.env.RAGWORTCLEAT_INSTANCE ?? DEFAULT_INSTANCE,
});
cli.option("--log <url>", "Log service of the platform", {
  default: process.env.RAGWORTCLEAT_LOG ?? DEFAULT_LOG,
});
cli.option("--key <file>", "File with the operator's key (default: $RAGWORTCLEAT_OPERATOR_KEY)");
cli.option("--json", "Print JSON");

interface IPublishOptions extends ICommonOptions {
  readonly base?: number;
}

interface IStatusOptions extends ICommonOptions {
  readonly metrics?: string;
}

interface IDecisionsOptions extends ICommonOptions {
  readonly follow?: boolean;
}

function needArgument(name: string, value: string | undefined): string {
  if (value !== undefined) return value;
  console.error(`ragwortcleat: ${name} is missing; see --help`);
  process.exit(ExitCode.BadInput);
}

function unknownAction(action: string, known: string): never {
  console.error(`ragwortcleat: unknown action ${action}; there are ${known}`);
  process.exit(ExitCode.BadInput);
}

cli.command("config <action> [file]", "validate FILE | diff FILE | publish FILE | status")
  .option("--base <version>", "Version that the file was made from (default: the one in force)")
  .action((action: string, file: string | undefined, opts: IPublishOptions) => {
    const commands = new Commands(opts);
    const path = () => needArgument("the file", file);
    return finish(commands, () => {
      switch (action) {
        case "validate":
          return commands.validate(path());
        case "diff":
          return commands.diff(path());
        case "publish":
          return commands.publish(path(), opts.base);
        case "status":
          return commands.configStatus();
        default:
          return unknownAction(action, "validate, diff, publish, status");
      }
    });
  });

cli.command("preset <action> [name]", "list | use NAME")
  .action((action: string, name: string | undefined, opts: ICommonOptions) => {
    const commands = new Commands(opts);
    return finish(commands, () => {
      switch (action) {
        case "list":
          return commands.listPresets();
        case "use":
          return commands.usePreset(needArgument("the preset's name", name));
        default:
          return unknownAction(action, "list, use");
      }
    });
  });

cli.command("program <action> [id]", "list | show ID | end ID")
  .action((action: string, id: string | undefined, opts: ICommonOptions) => {
    const commands = new Commands(opts);
    const programId = () => needArgument("the program's id", id);
    return finish(commands, () => {
      switch (action) {
        case "list":
          return commands.listPrograms();
        case "show":
          return commands.showProgram(programId());
        case "end":
          return commands.endProgram(programId());
        default:
          return unknownAction(action, "list, show, end");
      }
    });
  });

cli.command("instance <action>", "list | drain (the one named by --instance)")
  .action((action: string, opts: ICommonOptions) => {
    const commands = new Commands(opts);
    return finish(commands, () => {
      switch (action) {
        case "list":
          return commands.listInstances();
        case "drain":
          return commands.drainInstance();
        default:
          return unknownAction(action, "list, drain");
      }
    });
  });

cli.command("backend <action>", "list")
  .action((action: string, opts: ICommonOptions) => {
    const commands = new Commands(opts);
    return finish(
      commands,
      () => action === "list" ? commands.listBackends() : unknownAction(action, "list"),
    );
  });

cli.command("decisions", "Latest routing and placement decisions")
  .option("--follow", "Go on with the coming ones")
  .action((opts: IDecisionsOptions) => {
    const commands = new Commands(opts);
    return finish(commands, () => commands.decisions(opts.follow === true));
  });

cli.command("metrics", "Metrics of the instance")
  .action((opts: ICommonOptions) => {
    const commands = new Commands(opts);
    return finish(commands, () => commands.metrics());
  });

cli.command("explain <request> [...files]", "Why a request ended as it did, from log files or standard input")
  .action(async (requestId: string, files: readonly string[], opts: ICommonOptions) => {
    process.exitCode = await explain(requestId, { files, isJson: opts.json === true });
  });

cli.command("report [...files]", "Plots of a run, from log files or standard input, as one HTML page")
  .option("--out <file>", "Page to write", { default: "report.html" })
  .action(async (files: readonly string[], { out }: { out: string }) => {
    process.exitCode = await report({ files, out });
  });

cli.command("status", "Gauges of an instance, as its metrics address tells them")
  .option("--metrics <url>", "Metrics address (default: the instance's operator interface)")
  .action(async (opts: IStatusOptions) => {
    process.exitCode = await status({
      url: opts.metrics ?? `${opts.instance}/metrics`,
      isJson: opts.json === true,
    });
  });

cli.addEventListener("command:*", () => {
  console.error(`ragwortcleat: unknown command ${cli.args.join(" ")}; see --help`);
  process.exit(ExitCode.BadInput);
});
cli.help();
try {
  cli.parse();
  if (cli.matchedCommand === undefined && cli.args.length === 0 && !cli.options.help) cli.outputHelp();
} catch (err) {
  console.error(`ragwortcleat: ${(err as Error).message}`);
  process.exit(ExitCode.BadInput);
}
