import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

/** `chervilseam explain TRACE` */
export class ExplainCommand extends InstanceCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Shows the decisions that an instance made for a trace, and why.',
  });

  trace = Option.String({ required: false });

  protected override async run(): Promise<number> {
    const path = `debug/decisions?trace=${this.trace ?? ''}`;
    const decisions = await this.ask<Readonly<Record<string, unknown>>[]>('GET', path);
    this.print(decisions);
    return decisions.length > 0 ? ExitCode.ok : ExitCode.notFound;
  }
}
