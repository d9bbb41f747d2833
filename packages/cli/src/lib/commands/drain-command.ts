import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

/** `chervilseam drain ENDPOINT` */
export class DrainCommand extends InstanceCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: 'Stops new work for an endpoint at every instance.',
  });

  endpoint = Option.String();

  protected override async run(): Promise<number> {
    this.print([await this.ask('POST', 'drain', { endpoint: this.endpoint })]);
    return ExitCode.ok;
  }
}
