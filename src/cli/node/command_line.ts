/** Command line of the tool for operators. */
import process from "node:process";
import { cac } from "cac";
import type { ConfigurationReader } from "../common/configuration_finding.ts";
import { ExitCode } from "../common/exit_code.ts";
import { CheckExitCode } from "../common/render_findings.ts";
import type { ICheckCommandOptions } from "./check.ts";
import { check } from "./check.ts";
import type { ICommonOptions } from "./commands.ts";
import { Commands, runAndExit } from "./commands.ts";
import { explain } from "./explain.ts";
import { report } from "./report.ts";
import { status } from "./status.ts";

const DEFAULT_INSTANCE = "http://127.0.0.1:7001";
const DEFAULT_LOG = "http://127.0.0.1:7900";

interface IPublishOptions extends ICommonOptions {
  readonly base?: number;
}

interface IStatusOptions extends ICommonOptions {
  readonly metrics?: string;
}

interface IDecisionsOptions extends ICommonOptions {
  readonly follow?: boolean;
}

function requireArgument(name: string, value: string | undefined): string {
  if (value !== undefined) return value;
  console.error(`ragwortcleat: missing argument: ${name}; see --help`);
  process.exit(ExitCode.BadInput);
}

function failUnknownAction(action: string, known: string): never {
  console.error(`ragwortcleat: unknown action ${action}; expected one of ${known}`);
  process.exit(ExitCode.BadInput);
}

const CHECK_COMMAND = "check";

/** Parts of the command line that depend on a platform. */
export interface ICommandLineAdapter {
  readonly readConfiguration: ConfigurationReader;
}

/**
 * Runs the command that the arguments of the process name, and exits. Without an adapter there are no commands for the
 * routing configuration of a platform.
 */
export function runCommandLine(adapter?: ICommandLineAdapter): void {
  const cli = cac("ragwortcleat");
  cli.option("--instance <url>", "URL of the instance", {
    default: process.env.RAGWORTCLEAT_INSTANCE ?? DEFAULT_INSTANCE,
  });
  cli.option("--log <url>", "URL of the platform's log service", {
    default: process.env.RAGWORTCLEAT_LOG ?? DEFAULT_LOG,
  });
  cli.option("--key <file>", "File with the operator's key (default: $RAGWORTCLEAT_OPERATOR_KEY)");
  cli.option("--json", "Print JSON");

  cli.command("config <action> [file]", "validate FILE | diff FILE | publish FILE | status")
    .option("--base <version>", "Version that the file is based on (default: the one in force)")
    .action((action: string, file: string | undefined, opts: IPublishOptions) => {
      const commands = new Commands(opts);
      const path = () => requireArgument("file", file);
      return runAndExit(commands, () => {
        switch (action) {
          case "validate":
            return commands.validate(path());
          case "diff":
            return commands.diff(path());
          case "publish":
            return commands.publish(path(), opts.base);
          case "status":
            return commands.showConfigurationStatus();
          default:
            return failUnknownAction(action, "validate, diff, publish, status");
        }
      });
    });

  cli.command("preset <action> [name]", "list | use NAME")
    .action((action: string, name: string | undefined, opts: ICommonOptions) => {
      const commands = new Commands(opts);
      return runAndExit(commands, () => {
        switch (action) {
          case "list":
            return commands.listPresets();
          case "use":
            return commands.usePreset(requireArgument("preset name", name));
          default:
            return failUnknownAction(action, "list, use");
        }
      });
    });

  cli.command("program <action> [id]", "list | show ID | end ID")
    .action((action: string, id: string | undefined, opts: ICommonOptions) => {
      const commands = new Commands(opts);
      const programId = () => requireArgument("program id", id);
      return runAndExit(commands, () => {
        switch (action) {
          case "list":
            return commands.listPrograms();
          case "show":
            return commands.showProgram(programId());
          case "end":
            return commands.endProgram(programId());
          default:
            return failUnknownAction(action, "list, show, end");
        }
      });
    });

  cli.command("instance <action>", "list | drain (the one named by --instance)")
    .action((action: string, opts: ICommonOptions) => {
      const commands = new Commands(opts);
      return runAndExit(commands, () => {
        switch (action) {
          case "list":
            return commands.listInstances();
          case "drain":
            return commands.drainInstance();
          default:
            return failUnknownAction(action, "list, drain");
        }
      });
    });

  cli.command("backend <action>", "list")
    .action((action: string, opts: ICommonOptions) => {
      const commands = new Commands(opts);
      return runAndExit(
        commands,
        () => action === "list" ? commands.listBackends() : failUnknownAction(action, "list"),
      );
    });

  cli.command("decisions", "Show the most recent routing and placement decisions")
    .option("--follow", "Keep printing new decisions")
    .action((opts: IDecisionsOptions) => {
      const commands = new Commands(opts);
      return runAndExit(commands, () => commands.showDecisions(opts.follow === true));
    });

  cli.command("metrics", "Show the metrics of the instance")
    .action((opts: ICommonOptions) => {
      const commands = new Commands(opts);
      return runAndExit(commands, () => commands.showMetrics());
    });

  cli.command(
    "explain <request> [...files]",
    "Explain the outcome of a request from log files or standard input",
  )
    .action(async (requestId: string, files: readonly string[], opts: ICommonOptions) => {
      process.exitCode = await explain(requestId, { files, isJson: opts.json === true });
    });

  cli.command("report [...files]", "Plot a run from log files or standard input as one HTML page")
    .option("--out <file>", "Path of the page", { default: "report.html" })
    .action(async (files: readonly string[], { out }: { out: string }) => {
      process.exitCode = await report({ files, out });
    });

  cli.command("status", "Show the gauges of an instance")
    .option("--metrics <url>", "Metrics URL (default: the instance's operator interface)")
    .action(async (opts: IStatusOptions) => {
      process.exitCode = await status({
        url: opts.metrics ?? `${opts.instance}/metrics`,
        isJson: opts.json === true,
      });
    });

  if (adapter !== undefined) {
    cli.command(`${CHECK_COMMAND} <file>`, "Check a routing configuration before it is sent")
      .option("--in-force <file>", "Also list the differences from this configuration")
      .option(
        "--servers <counts>",
        "Number of servers by service, such as chat=12,search=4, for rules on capacity",
      )
      .action((file: string, opts: ICheckCommandOptions) => {
        process.exitCode = check(file, { ...opts, read: adapter.readConfiguration });
      });
  }

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
    process.exit(cli.matchedCommandName === CHECK_COMMAND ? CheckExitCode.Unusable : ExitCode.BadInput);
  }
}
