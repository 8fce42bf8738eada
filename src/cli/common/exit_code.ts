/** Exit codes of the command-line tool; documented for operators. */
export enum ExitCode {
  Ok = 0,
  /** The instance or the log service could not be reached, or refused. */
  Failed = 1,
  /** The command line or a file is at fault. */
  BadInput = 2,
  /** A publication was rejected. */
  Rejected = 3,
}
