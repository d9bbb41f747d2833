import { Builtins, Cli } from 'clipanion';
import { ApplyCommand } from './commands/apply-command.js';
import { CheckCommand } from './commands/check-command.js';
import { CompletionCommand } from './commands/completion-command.js';
import { DiffCommand } from './commands/diff-command.js';
import { DrainCommand } from './commands/drain-command.js';
import { ExplainCommand } from './commands/explain-command.js';
import { GetCommand } from './commands/get-command.js';
import { HistoryCommand } from './commands/history-command.js';
import { PlanCommand } from './commands/plan-command.js';
import { SnapshotCommand } from './commands/snapshot-command.js';
import { StatusCommand } from './commands/status-command.js';

const commands = [
  ApplyCommand,
  CheckCommand,
  CompletionCommand,
  DiffCommand,
  DrainCommand,
  ExplainCommand,
  GetCommand,
  HistoryCommand,
  PlanCommand,
  SnapshotCommand,
  StatusCommand,
  Builtins.HelpCommand,
];

/**
 * Creates the command-line tool for operators.
 *
 * @returns the tool, to be run with the arguments of a command line
 * @example
 * ```ts
 * const exitCode = await createCli().run(['check', 'shop.toml']);
 * ```
 */
export function createCli(): Cli {
  const cli = new Cli({ binaryName: 'chervilseam', binaryLabel: 'chervilseam' });
  commands.forEach((command) => cli.register(command));
  return cli;
}
