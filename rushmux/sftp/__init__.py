"""A codec of SFTP version 3 (draft-ietf-secsh-filexfer-02): fields, packets and streams; no I/O."""
