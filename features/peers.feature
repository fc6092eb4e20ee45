Feature: Messages between processes come from members of the deployment

  Scenario Outline: A message from outside the deployment is refused and counted
    # Guards against commands from another deployment, from a process with an
    # unsupported protocol version and from a sender without the deployment's
    # key.
    Given a peer listener
    When a message with <fault> arrives
    Then it is refused with status 403 and counted

    Examples:
      | fault                 |
      | another deployment    |
      | another key           |
      | an altered body       |
      | an altered path       |
      | an altered sender     |
      | a version too new     |
      | a version too old     |
      | no signature          |

  Scenario: The previous protocol version is accepted
    # Guards against a roll-out in which upgraded processes refuse the others.
    Given a peer listener
    When a message of the previous version arrives
    Then it is answered

  Scenario: A message that is nested too deeply
    # Guards against a nested message that counts as an internal error, which
    # a sender cannot tell from a command that may have been carried out.
    Given a peer listener
    When a message with 100000 nested lists arrives
    Then it is refused with status 400

  Scenario: An answer that is nested too deeply
    # Guards against an answer that ends the task of the caller, for example
    # the search for the leader.
    Given a peer listener that answers with 100000 nested lists
    When the peer is called
    Then the call fails with a typed error

  Scenario Outline: A peer at an address that cannot be called
    # Guards against an address in a message or in the settings that ends the
    # task of the caller, or a call that counts as sent although no byte was.
    Given a peer listener
    When a peer at <address> and port <port> is called
    Then the call fails as never sent

    Examples:
      | address   | port         |
      | 127.0.0.1 | 0            |
      | 127.0.0.1 | -1           |
      | 127.0.0.1 | 65536        |
      | 127.0.0.1 | 999999999999 |
      | 999.1.1.1 | 80           |
      | :::::     | 80           |
      | a..b      | 80           |
      | 64 x a    | 80           |
      | nothing   | 80           |

  Scenario: A certificate is replaced without a restart
    # Guards against processes that keep an expired certificate until they
    # are restarted.
    Given a peer listener with TLS
    When its certificate is replaced and new files are read
    Then a new connection gets the new certificate
    And a client that trusts another authority is refused
    And broken files leave the current certificate in use
