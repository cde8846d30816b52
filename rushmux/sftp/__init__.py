"""The codec of SFTP version 3 (draft-ietf-secsh-filexfer-02): fields, packets and their stream; no I/O."""
