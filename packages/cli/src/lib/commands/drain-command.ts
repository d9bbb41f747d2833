import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { InstanceCommand } from './instance-command.js';

/** `chervilseam drain ENDPOINT`: drains an endpoint. */
export class DrainCommand extends InstanceCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({
    description: 'Drains an endpoint: the instances stop sending it new requests.',
  });

  endpoint = Option.String();

  protected override async run(): Promise<number> {
    this.print([await this.callInstance('POST', 'drain', { endpoint: this.endpoint })]);
    return ExitCode.ok;
  }
}
