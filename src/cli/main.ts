#!/usr/bin/env node
/** Entry point of the command-line tool for operators, without the commands for a platform. */
import { runCommandLine } from "./node/command_line.ts";

runCommandLine();
